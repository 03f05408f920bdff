/** Guards against `unknown-service` rejections by a process without a configuration: it does not know yet which services exist. */
import test from 'ava';
import {request} from 'undici';
import {createPortAllocator} from '../../measure/ports.js';
import {createPlatformClient} from '../../platform/client.js';
import {createNode} from '../node.js';
import {parseSettings} from '../settings.js';

const silent = () => undefined;

test('a process without a configuration rejects every request as not run, with a retry-after time', async t => {
  const {next} = createPortAllocator();
  const addresses = [await next(), await next(), await next(), await next()] as const;
  const [entry, peer, local, admin] = addresses;
  const platform = await next();
  const parsed = parseSettings({
    host: 'h', zone: 'z', entry, peer, local, admin, platform: `http://${platform}`, contacts: [], fleetKey: 'test-key-0123456789', stopTimeoutMs: 1000,
  });
  if (parsed.kind === 'error') {
    throw new Error(JSON.stringify(parsed.error));
  }

  const node = createNode({
    settings: parsed.value,
    log: {
      error: silent, warn: silent, info: silent, debug: silent,
    },
    platform: createPlatformClient({address: platform}),
  });
  await node.start();
  t.teardown(node.stop);
  const reply = await request(`http://${entry}/fotoargine/photos/1`);
  t.is(reply.statusCode, 503);
  t.is(reply.headers['jujubewell-reason'], 'no-configuration');
  t.is(reply.headers['jujubewell-outcome'], 'not-run');
  t.true(Number(reply.headers['retry-after-ms'] ?? reply.headers['retry-after']) > 0);
  const status = await request(`http://${admin}/status`);
  const {fleet} = await status.body.json() as {fleet: {sequence: number}};
  t.is(fleet.sequence, 0);
});
