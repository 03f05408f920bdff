/** Tests a chain of four calls through real listeners: request id, deadline, hops and errors are passed along it. */
import type {IncomingMessage} from 'node:http';
import test from 'ava';
import {request} from 'undici';
import type {DeclaredObject} from '../../objects/schema.js';
import {startDeployment, type Backend, type Deployment} from './deployment.js';

const SERVICES = ['first', 'second', 'third', 'fourth'] as const;
const DEADLINE_MS = 4000;

const objects: DeclaredObject[] = SERVICES.flatMap((service): DeclaredObject[] => [
  {
    kind: 'Service', name: service, labels: {}, spec: {},
  },
  {
    kind: 'RequestKind', name: `${service}-read`, labels: {}, spec: {
      service, methods: ['GET'], path: '/*', idempotent: true,
    },
  },
]);

type RecordedRequest = {service: string; requestId: string; deadlineMs: number};

const recordedRequests: RecordedRequest[] = [];
let isLastBroken = false;

const recordRequest = (service: string, {headers}: IncomingMessage) => {
  recordedRequests.push({service, requestId: String(headers['jujubewell-request-id']), deadlineMs: Number(headers['jujubewell-deadline-ms'])});
};

const backends = SERVICES.map((service, index): Backend => ({
  service,
  async handle(incoming, response, _body, local) {
    recordRequest(service, incoming);
    const next = SERVICES[index + 1];
    if (next === undefined) {
      response.statusCode = isLastBroken ? 500 : 200;
      response.end('deepest');
      return;
    }

    const reply = await request(`http://${local}/${next}/x`, {headers: {'jujubewell-call-token': String(incoming.headers['jujubewell-call-token'])}});
    response.statusCode = reply.statusCode;
    response.end(`${service} > ${await reply.body.text()}`);
  },
}));

let deployment: Deployment;

test.before(async () => {
  deployment = await startDeployment(objects, backends, ['north', 'south']);
});

test.after.always(async () => {
  await deployment.stop();
});

const sendRequest = async (requestId: string) => {
  const reply = await request(`http://${deployment.hosts[3]!.entry}/first/x`, {
    headers: {'jujubewell-request-id': requestId, 'jujubewell-deadline-ms': String(DEADLINE_MS)},
  });
  return {status: reply.statusCode, text: await reply.body.text()};
};

test.serial('a chain of four calls returns the complete response, with one request id and a decreasing deadline', async t => {
  t.deepEqual(await sendRequest('r-1'), {status: 200, text: 'first > second > third > deepest'});
  const calls = recordedRequests.filter(({requestId}) => requestId === 'r-1');
  t.deepEqual(calls.map(({service}) => service), [...SERVICES]);
  t.true(calls.every(({deadlineMs}, index) => deadlineMs > 0 && deadlineMs <= (calls[index - 1]?.deadlineMs ?? DEADLINE_MS)));
});

test.serial('a failure of the last service reaches the client with its status and is not retried at each hop', async t => {
  isLastBroken = true;
  t.deepEqual(await sendRequest('r-2'), {status: 500, text: 'first > second > third > deepest'});
  t.is(recordedRequests.filter(({requestId}) => requestId === 'r-2').length, SERVICES.length);
});
