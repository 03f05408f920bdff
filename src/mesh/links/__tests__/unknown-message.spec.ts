/** Guards against a connection that is closed, or stops, because a process of another version sends a message that this one does not know. */
import {connect} from 'node:net';
import test from 'ava';
import {createPortAllocator} from '../../../measure/ports.js';
import {splitAddress} from '../../../shared/address.js';
import {createDecisionLog} from '../../decision-log.js';
import type {InboundProxy} from '../../inbound/inbound-proxy.js';
import type {KnownVersions, Message} from '../../message.js';
import {createFrameReader, createFrameWriter} from '../frame.js';
import {createPeerServer} from '../peer-server.js';

const ports = createPortAllocator();
const known: KnownVersions = {
  configuration: 0, members: 0, reading: undefined, ownReadingAgeMs: undefined,
};

test('a message of an unknown type is ignored, and the next one is answered', async t => {
  const address = await ports.next();
  const log = createDecisionLog({
    node: 'n',
    level: 'error',
    linesPerSecond: {
      debug: 0, info: 0, warn: 0, error: 10,
    },
  });
  const server = createPeerServer({
    address,
    now: () => performance.now(),
    log,
    inboundProxy: {} as unknown as InboundProxy,
    createWelcome: () => ({type: 'known', known}),
    createPong: () => ({type: 'known', known}),
    onMessage: () => undefined,
  });
  await server.start();
  t.teardown(server.close);
  const socket = connect(splitAddress(address));
  t.teardown(() => socket.destroy());
  const writer = createFrameWriter();
  const answer = new Promise<string>((resolve, reject) => {
    const reader = createFrameReader(({message}) => {
      resolve(message.type);
    });
    socket.on('data', reader.push);
    socket.on('close', () => {
      reject(new Error('the connection was closed'));
    });
  });
  socket.write(writer.encode({type: 'of-a-later-version', asks: [{workspace: 'w'}]} as unknown as Message));
  socket.write(writer.encode({type: 'ping', sentAt: 0, known}));
  t.is(await answer, 'known');
});
