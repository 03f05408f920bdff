/** Tests the path of a call through real listeners: routing, sub-calls, tickets, request bodies and error replies. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {request} from 'undici';
import type {DeclaredObject} from '../../objects/schema.js';
import {startDeployment, type Backend, type Deployment} from './deployment.js';

const service = (name: string): DeclaredObject => ({
  kind: 'Service', name, labels: {}, spec: {},
});
const kind = (name: string, spec: Extract<DeclaredObject, {kind: 'RequestKind'}>['spec']): DeclaredObject => ({
  kind: 'RequestKind', name, labels: {work: name}, spec,
});

const objects: DeclaredObject[] = [
  service('chiuse'),
  service('registro'),
  kind('closure', {
    service: 'chiuse', methods: ['POST'], path: '/closures', idempotent: false,
  }),
  kind('photo', {
    service: 'chiuse', methods: ['PUT'], path: '/photos/*', idempotent: true,
  }),
  kind('record', {
    service: 'registro', methods: ['POST'], path: '/records', idempotent: false,
  }),
  {
    kind: 'Rule', name: 'priorities', labels: {}, spec: {type: 'priority', priorities: [{name: 'urgent', select: {requestKinds: {labels: {work: 'closure'}}}}]},
  },
];

let closures = 0;
let records = 0;

const chiuse: Backend = {
  service: 'chiuse',
  async handle(incoming, response, body, local) {
    if (incoming.method === 'PUT') {
      response.end(JSON.stringify({bytes: body.length}));
      return;
    }

    closures++;
    const record = await request(`http://${local}/registro/records`, {method: 'POST', body, headers: {'jujubewell-call-token': String(incoming.headers['jujubewell-call-token'])}});
    response.statusCode = record.statusCode;
    response.end(await record.body.text());
  },
};
const registro: Backend = {
  service: 'registro',
  handle(_incoming, response, body) {
    records++;
    response.end(`recorded ${body.toString()}`);
  },
};

let deployment: Deployment;

test.before(async () => {
  deployment = await startDeployment(objects, [chiuse, registro]);
});

test.after.always(async () => {
  await deployment.stop();
});

const url = (host: number, path: string) => `http://${deployment.hosts[host]!.entry}${path}`;

test.serial('a non-idempotent call without a ticket gets one and then runs with its sub-call', async t => {
  const first = await request(url(1, '/chiuse/closures'), {method: 'POST', body: 'gate 1'});
  t.is(first.statusCode, 428);
  await first.body.dump();
  t.is(closures, 0);
  const headers = {'jujubewell-ticket': String(first.headers['jujubewell-ticket'])};
  const reply = await request(url(0, '/chiuse/closures'), {method: 'POST', body: 'gate 1', headers});
  t.is(await reply.body.text(), 'recorded gate 1');
  t.is(records, 1);
});

test.serial('a non-idempotent call and its sub-call run once, however often and through whichever host it is resent', async t => {
  const before = {closures, records};
  const first = await request(url(1, '/chiuse/closures'), {method: 'POST', body: 'gate 7'});
  t.is(first.statusCode, 428);
  await first.body.dump();
  const ticket = String(first.headers['jujubewell-ticket']);
  const resends = await Promise.all([0, 1, 0, 1].map(async host => {
    const reply = await request(url(host, '/chiuse/closures'), {method: 'POST', body: 'gate 7', headers: {'jujubewell-ticket': ticket}});
    return {status: reply.statusCode, text: await reply.body.text()};
  }));
  t.deepEqual(resends, Array.from({length: 4}, () => ({status: 200, text: 'recorded gate 7'})));
  t.is(closures, before.closures + 1);
  t.is(records, before.records + 1);
});

test.serial('an upload larger than the replay limit arrives complete', async t => {
  const bytes = 3 * 1024 * 1024;
  const reply = await request(url(1, '/chiuse/photos/1'), {method: 'PUT', body: Buffer.alloc(bytes, 1)});
  t.deepEqual(await reply.body.json(), {bytes});
});

const invalidRequests: Array<{
  title: string; method: 'GET' | 'POST'; path: string; headers?: Record<string, string>; status: number; error: string;
}> = [
  {
    title: 'an unknown service', method: 'GET', path: '/nothing/here', status: 404, error: 'unknown-service',
  },
  {
    title: 'an unknown request kind', method: 'GET', path: '/chiuse/closures', status: 404, error: 'unknown-request-kind',
  },
  {
    title: 'a forged ticket',
    method: 'POST',
    path: '/chiuse/closures',
    headers: {'jujubewell-ticket': 'chiuse.h0.i.127%2E0%2E0%2E1%3A1.n.1.aaaaaaaaaaaaaaaaaaaaaa'},
    status: 400,
    error: 'forged-ticket',
  },
  {
    title: 'a malformed ticket', method: 'POST', path: '/chiuse/closures', headers: {'jujubewell-ticket': 'x'}, status: 400, error: 'malformed-ticket',
  },
  {
    title: 'a request id that is too long', method: 'POST', path: '/chiuse/closures', headers: {'jujubewell-request-id': 'x'.repeat(65)}, status: 400, error: 'malformed-request',
  },
  {
    title: 'a forged client group', method: 'POST', path: '/chiuse/closures', headers: {'jujubewell-group': 'society.forged'}, status: 400, error: 'malformed-request',
  },
];

for (const invalidRequest of invalidRequests) {
  test.serial(`${invalidRequest.title} is rejected as not run, with its reason`, async t => {
    const reply = await request(url(0, invalidRequest.path), {method: invalidRequest.method, ...(invalidRequest.headers && {headers: invalidRequest.headers})});
    t.is(reply.statusCode, invalidRequest.status);
    t.like(await reply.body.json(), {error: invalidRequest.error, outcome: 'not-run'});
  });
}

test.serial('the peer listener rejects a call without valid proof of fleet membership', async t => {
  const reply = await request(`http://${deployment.hosts[0]!.settings.peer}/closures`, {method: 'POST', headers: {'jujubewell-peer': 'h9:i:forged'}});
  t.is(reply.statusCode, 403);
  await reply.body.dump();
});

test.serial('a not-run rejection carries a ticket for the next try, and the rejected ticket stays invalid', async t => {
  const first = await request(url(1, '/chiuse/closures'), {method: 'POST', body: 'gate 9'});
  await first.body.dump();
  const ticket = String(first.headers['jujubewell-ticket']);
  const sendTicketRequest = async (host: number, method: 'GET' | 'DELETE') => {
    const reply = await request(url(host, `/.jujubewell/tickets/${ticket}`), {method});
    return reply.body.json();
  };

  t.deepEqual([await sendTicketRequest(0, 'GET'), await sendTicketRequest(1, 'GET'), await sendTicketRequest(0, 'DELETE'), await sendTicketRequest(1, 'GET')], [
    {state: 'unseen'}, {state: 'unseen'}, {state: 'cancelled'}, {state: 'cancelled'},
  ]);
  const before = closures;
  const late = await request(url(1, '/chiuse/closures'), {method: 'POST', body: 'gate 9', headers: {'jujubewell-ticket': ticket}});
  t.like(await late.body.json(), {error: 'ticket-cancelled', outcome: 'not-run'});
  t.is(closures, before);
  const next = await request(url(1, '/chiuse/closures'), {method: 'POST', body: 'gate 9', headers: {'jujubewell-ticket': String(late.headers['jujubewell-ticket'])}});
  t.is(next.statusCode, 200);
  t.is(await next.body.text(), 'recorded gate 9');
  t.is(closures, before + 1);
});
