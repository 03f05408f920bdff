/** An upstream takes itself out of use, all processes are killed at the same moment, and an earlier heartbeat of that upstream arrives seconds late. */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {runCase} from '../stand-ins/case.mjs';
import {
  BOUNDS, CannotRun, configurationOf, createDeployment, route, sleep,
} from '../stand-ins/deployment.mjs';
import {startClient} from '../stand-ins/client.mjs';
import {countEnds, countOutcomes} from '../stand-ins/checks.mjs';

const CLIENTS_PER_HOST = 4;
const BEFORE_MS = 5000;
/** "A heartbeat may arrive seconds late." */
const LATE_MS = 3000;
/** How long the upstream goes on serving after the confirmation: `drainMs` "and a little longer (at times many seconds)". */
const SERVES_MS = 12_000;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({record, hasTrouble, onEnd}) => {
  const deployment = await createDeployment({
    record,
    hosts: [
      {service: 'statusrog', zone: 'nord-a'}, {service: 'statusrog', zone: 'nord-b'}, {service: 'chiuse', zone: 'nord-a'}, {service: 'chiuse', zone: 'nord-b'},
    ],
    configuration: configurationOf({'channel-status': route('statusrog'), 'crew-roster': route('chiuse')}),
  });
  onEnd(deployment.stop);
  await deployment.start();
  const results = [];
  const clients = deployment.hosts.flatMap(({entry}) => Array.from({length: CLIENTS_PER_HOST}, (_, index) => startClient({
    entry, results, record, next: () => [{path: `/${index % 2 === 0 ? 'statusrog' : 'chiuse'}/work-160/`}],
  })));
  await sleep(BEFORE_MS);
  const [first] = deployment.hosts;
  const deliverHeartbeat = first.backend.holdHeartbeat();
  const sentAt = performance.now();
  const status = await first.backend.deregister(first.control);
  if (status !== 200) {
    throw new CannotRun('the deregistration was not confirmed');
  }

  const confirmedAt = performance.now();
  record('deregistration confirmed', {node: first.name});
  if (hasTrouble) {
    // Herd_kill on core: all of them are killed.
    for (const host of deployment.hosts) {
      host.signal('SIGKILL');
    }
  }

  await sleep(sentAt + LATE_MS - performance.now());
  record('late heartbeat arrives', {status: await deliverHeartbeat(first.control)});
  await sleep(confirmedAt + SERVES_MS - performance.now());
  await Promise.all(clients.map(async client => client.stop()));
  const restartedAt = hasTrouble ? Math.max(...deployment.hosts.map(host => host.startedAt)) : Number.NEGATIVE_INFINITY;
  const inTouchFrom = restartedAt + BOUNDS.stabilityWindowMs;
  const sentAtById = new Map(results.map(request => [request.id, request.sentAt]));
  const reachedLate = first.backend.runs.filter(run => run.startedAt > confirmedAt + BOUNDS.drainMs);
  const reachedInTouch = reachedLate.filter(({id}) => sentAtById.get(id) > inTouchFrom);
  return {
    broken: reachedInTouch.length > 0,
    summary: {
      reachedLate: reachedLate.length,
      reachedLateAndInTouch: reachedInTouch.length,
      secondsAfterConfirmation: reachedInTouch.length === 0 ? undefined : [reachedInTouch[0], reachedInTouch.at(-1)].map(({startedAt}) => Math.round(startedAt - confirmedAt) / 1000),
      outcomes: countOutcomes(results),
      endedByThemselves: countEnds(deployment),
    },
  };
});
