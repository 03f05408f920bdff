/** Guards against a baseline proxy that balances or retries worse than specified, which would make every comparison with it too favourable. */
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {request} from 'undici';
import {createNaiveProxy} from '../proxy.js';

const startBackendServer = async (name: string, status: number, receivedBy: string[]) => {
  const server = createServer((incoming, response) => {
    receivedBy.push(name);
    incoming.resume();
    response.writeHead(status).end(`${name} ${incoming.method} ${incoming.url}`);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {server, address: `127.0.0.1:${(server.address() as AddressInfo).port}`};
};

const cases: Array<[title: string, statuses: [number, number], calls: number, expectedStatus: number, expectedReceivedBy: string[]]> = [
  ['selects backend servers round robin', [200, 200], 3, 200, ['a', 'b', 'a']],
  ['retries with the next backend server', [503, 200], 1, 200, ['a', 'b']],
  ['stops after three retries', [503, 503], 1, 503, ['a', 'b', 'a', 'b']],
  ['does not retry a client error', [404, 200], 1, 404, ['a']],
];

for (const [title, statuses, calls, expectedStatus, expectedReceivedBy] of cases) {
  test(`it ${title}`, async t => {
    const receivedBy: string[] = [];
    const a = await startBackendServer('a', statuses[0], receivedBy);
    const b = await startBackendServer('b', statuses[1], receivedBy);
    const proxy = createNaiveProxy({
      entry: '127.0.0.1:0', local: '127.0.0.1:0', services: [{name: 'chiuse', backendServers: [a.address, b.address]}],
    });
    const {entry} = await proxy.start();
    for (let call = 0; call < calls; call++) {
      const response = await request(`http://${entry}/chiuse/closures?x=1`, {method: 'POST', body: 'x'}); // eslint-disable-line no-await-in-loop
      t.is(response.statusCode, expectedStatus);
      t.regex(await response.body.text(), /POST \/closures\?x=1$/u); // eslint-disable-line no-await-in-loop
    }

    t.deepEqual(receivedBy, expectedReceivedBy);
    await proxy.stop();
    a.server.close();
    b.server.close();
    a.server.closeAllConnections();
    b.server.closeAllConnections();
  });
}
