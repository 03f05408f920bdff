/* eslint-disable no-await-in-loop, no-void, n/prefer-global/buffer, @stylistic/max-len */
// A host is stopped as planned (SIGTERM) while requests of its clients wait for a slot of an upstream.
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  announce, describe, openConnection, runCase, sleep, startUpstream,
} from '../stand-ins-3/lib.mjs';

const SLOTS = 10;
/** Work of a lookup and of a report. */
const LOOKUP_MS = 100;
const REPORT_MS = 5000;
/** Lookups a second at each of the two hosts with clients. */
const LOOKUPS_PER_S = 40;
/** Every so often, clients of the other host ask for this many reports. */
const REPORTS = 45;
const REPORTS_EVERY_MS = 12_000;
const DEADLINE_MS = 6000;
const GRACE_MS = 6000;
const LOSS_SLACK_MS = 200;
/** The second batch of reports comes so long after the SIGTERM, in milliseconds. */
const BATCH_AFTER_STOP_MS = 800;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({record, trouble, store, deployment, cleanups}) => {
  store.put('config', 'main', {
    version: 7,
    routes: {
      registry: {
        host: 'hulo84.example', pathPrefix: '/registry/', kind: 'non_idempotent', timeoutMs: DEADLINE_MS, targetLatencyMs: 4000, priority: 1, maxAttempts: 2, service: 'registry',
      },
    },
    services: {registry: {healthCheckPath: '/health', maxConnections: 394}, front: {healthCheckPath: '/health', maxConnections: 394}},
    limits: {
      maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
    },
  });
  const stopping = await deployment.add({service: 'front'});
  const other = await deployment.add({service: 'front'});
  const hosts = [stopping, other, await deployment.add({service: 'registry'}), await deployment.add({service: 'registry'}), await deployment.add({service: 'registry'})];
  const upstreams = [];
  for (const [index, host] of hosts.entries()) {
    const upstream = await startUpstream({
      slots: SLOTS, record, name: `u${index + 1}`, run({request, answer}) {
        setTimeout(() => {
          answer(200, Buffer.from('done'));
        }, request.url.includes('report') ? REPORT_MS : LOOKUP_MS);
      },
    });
    const announced = announce(host, upstream);
    upstream.setInstance(announced.id);
    upstreams.push(upstream);
    cleanups.push(() => {
      announced.stop();
      upstream.close();
    });
  }

  await deployment.waitUntilReady();
  await sleep(2000);

  const requests = [];
  let nextId = 0;
  const sendOne = async (host, kind) => {
    nextId++;
    const entry = {id: `${kind}-${nextId}`, host, outcome: undefined};
    let connection;
    try {
      connection = await openConnection(host.entry);
    } catch {
      return;
    }

    entry.sentAt = performance.now();
    requests.push(entry);
    entry.outcome = await connection.send({
      id: entry.id, method: 'POST', path: `/registry/${kind}`, body: Buffer.from('{"month": 11}'), deadlineMs: DEADLINE_MS,
    });
    entry.endedAt = performance.now();
    connection.close();
    record(`client of ${host.node}: ${entry.id} after ${Math.round(entry.endedAt - entry.sentAt)} ms: ${describe(entry.outcome)}`);
  };

  /** A host gets new work until two questions in a row for its readiness were missed. */
  const takesWork = new Map([[stopping, true], [other, true]]);
  let misses = 0;
  /** Sends at a rate by the clock, also when a timer is late. */
  const sendAt = (perSecond, sendNext) => {
    const startedAt = performance.now();
    let sent = 0;
    return setInterval(() => {
      for (; sent < (performance.now() - startedAt) * perSecond / 1000; sent++) {
        sendNext();
      }
    }, 5);
  };

  const timers = [
    setInterval(async () => {
      misses = await deployment.isReady(stopping) ? 0 : misses + 1;
      if (misses === 2) {
        takesWork.set(stopping, false);
        record(`${stopping.node} gets no new work any more`);
      }
    }, 1000),
    sendAt(LOOKUPS_PER_S, () => {
      for (const [host, mayTake] of takesWork) {
        if (mayTake) {
          void sendOne(host, 'lookup');
        }
      }
    }),
    setInterval(() => {
      record(`clients of ${other.node} ask for ${REPORTS} reports`);
      for (let index = 0; index < REPORTS; index++) {
        void sendOne(other, 'report');
      }
    }, REPORTS_EVERY_MS),
  ];
  cleanups.push(() => {
    for (const timer of timers) {
      clearInterval(timer);
    }
  });

  await sleep((2 * REPORTS_EVERY_MS) - BATCH_AFTER_STOP_MS);
  const stoppedAt = performance.now();
  if (trouble) {
    record(`SIGTERM to ${stopping.node}`);
    stopping.child.kill('SIGTERM');
  }

  await sleep(GRACE_MS + 500);
  const ran = new Set(upstreams.flatMap(upstream => upstream.ran.map(({id}) => id)));
  const atStopping = requests.filter(({host, sentAt}) => host === stopping && sentAt > stoppedAt - DEADLINE_MS);
  const cut = atStopping.filter(({outcome}) => outcome?.kind === 'cut');
  // An upstream that was still at work at the end of the grace time excuses a cut, and so does the deadline.
  const lost = cut.filter(({id, sentAt, endedAt}) => !ran.has(id) && endedAt - sentAt > LOSS_SLACK_MS && endedAt - sentAt < DEADLINE_MS);
  record(`${atStopping.length} requests at ${stopping.node} around the stop: ${atStopping.filter(({outcome}) => outcome?.status === 200).length} served, ${atStopping.filter(({outcome}) => outcome?.status === 503).length} refused, ${cut.length} cut`);
  for (const {id, sentAt, endedAt} of lost) {
    record(`lost: ${id}, sent ${Math.round(sentAt - stoppedAt)} ms after the SIGTERM, cut ${Math.round(endedAt - stoppedAt)} ms after it; no upstream had begun it`);
  }

  return lost.length > 0;
});
