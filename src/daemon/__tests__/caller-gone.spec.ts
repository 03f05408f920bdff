/** Guards against calls that stay in flight after their caller has gone: `drain --wait` would never end, and their buffered bodies would use up the replay budget. */
import test from 'ava';
import {request} from 'undici';
import type {DeclaredObject} from '../../objects/schema.js';
import {waitUntil, startDeployment, type Backend} from './deployment.js';

const objects: DeclaredObject[] = [
  {
    kind: 'Service', name: 'fotoargine', labels: {}, spec: {},
  },
  {
    kind: 'RequestKind', name: 'photo', labels: {}, spec: {
      service: 'fotoargine', methods: ['PUT'], path: '/photos/*', idempotent: true,
    },
  },
];

test('a call whose caller disconnects while the backend server works on it does not stay in flight', async t => {
  let arrived = 0;
  let closed = 0;
  const backend: Backend = {
    service: 'fotoargine',
    handle(_incoming, response) {
      arrived++;
      response.on('close', () => {
        closed++;
      });
    },
  };
  const deployment = await startDeployment(objects, [backend]);
  t.teardown(deployment.stop);
  const [host] = deployment.hosts;
  const client = new AbortController();
  const calls = [1, 2, 3].map(async index =>
    request(`http://${host!.entry}/fotoargine/photos/${index}`, {method: 'PUT', body: 'photo', signal: client.signal}));
  await waitUntil(() => arrived === 3);
  client.abort();
  const ends = await Promise.allSettled(calls);
  t.deepEqual(ends.map(({status}) => status), ['rejected', 'rejected', 'rejected']);
  await waitUntil(() => closed === 3);
  await waitUntil(() => (host!.node.status() as {inFlight: number}).inFlight === 0);
  t.is((host!.node.status() as {inFlight: number}).inFlight, 0);
});
