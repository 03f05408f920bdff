/**
A new version of the configuration adds a route with a large rank.

Two upstreams of one service are in use up to their slots, so that calls wait in front of them. A version of the configuration adds a route to that service with a rank far behind the
others, as for work that anything may overtake. CONFIG: of the requests that are unanswered at the timeout of their route, more than half have no answer half a second later.
*/
import {
  elapsed, isTrouble, record, route, runCase, sleep,
} from '../stand-ins-2/deployment.mjs';
import {newId, openConnection} from '../stand-ins-2/client.mjs';

/** Largest 32-bit integer: the last of all ranks. */
const LAST_RANK = 2_147_483_647;
const NEXT_RANK = 2;
const SLOTS = 15;
const WORK_MS = 160;
const TIMEOUT_MS = 1000;
/** Time after the timeout in which an answer still counts, by the rule. */
const LATE_MS = 500;
const DEADLINE_MS = 3000;
const LOAD_MS = 12_000;
const PAUSE_MS = 50;
const STATUS_CLIENTS = 4;
const REPORT_CLIENTS = 8;
/** Requests below which the rule is not judged. */
const UNANSWERED_MIN = 20;

/** Sound upstream: works, answers with a stated length. */
const serve = ({request, response, headers}) => {
  request.resume();
  setTimeout(() => {
    response.writeHead(200, {...headers, 'Content-Length': 4});
    response.end('done');
  }, WORK_MS);
};

const countBy = names => {
  const counts = {};
  for (const name of names) {
    counts[name] = (counts[name] ?? 0) + 1;
  }

  return JSON.stringify(counts);
};

await runCase(import.meta.url, async deployment => {
  await Promise.all(['statusrog', 'statusrog', 'chiuse', 'chiuse'].map(async (service, index) => deployment.addHost({
    name: `host-${index}`, zone: `nord-${'abc'[index % 3]}`, service, slots: SLOTS, serve,
  })));
  const services = {statusrog: {maxConnections: 370}, chiuse: {maxConnections: 460}};
  const routes = {
    status: route('statusrog', {pathPrefix: '/status/', timeoutMs: TIMEOUT_MS, priority: 0}),
    closures: route('chiuse', {pathPrefix: '/closures/', timeoutMs: TIMEOUT_MS, priority: 1}),
  };
  deployment.store.configure(3, routes, services);
  await deployment.settle();
  deployment.store.configure(7, {...routes, reports: route('statusrog', {pathPrefix: '/reports/', timeoutMs: TIMEOUT_MS, priority: isTrouble ? LAST_RANK : NEXT_RANK})}, services);
  await sleep(3000);
  const until = performance.now() + LOAD_MS;
  const asked = [];

  /** Sends requests one after the other on a kept connection, and leaves one that has no answer at its deadline. */
  const keepAsking = async (entry, path) => {
    let connection;
    /* eslint-disable no-await-in-loop */
    while (performance.now() < until) {
      connection = connection === undefined || connection.closed !== undefined ? openConnection(entry) : connection;
      const id = newId(path.split('/')[1]);
      const sentAt = elapsed();
      connection.send({id, path, deadlineMs: DEADLINE_MS});
      const answer = await Promise.race([connection.next(), sleep(DEADLINE_MS).then(() => 'left')]); // eslint-disable-line promise/prefer-await-to-then
      const status = answer === 'left' ? 'none' : (answer?.status ?? 'closed');
      const tookMs = Math.round((elapsed() - sentAt) * 1000);
      asked.push({path, status, tookMs});
      record(`client of ${id}: ${status} after ${tookMs} ms`);
      if (answer === 'left' || answer?.closes) {
        connection.socket.destroy();
        connection = undefined;
      }

      await sleep(answer?.retryAfterMs ?? PAUSE_MS);
    }

    /* eslint-enable no-await-in-loop */
    connection?.socket.destroy();
  };

  await Promise.all(deployment.hosts.flatMap(({entry}) => [
    ...Array.from({length: STATUS_CLIENTS}, async () => keepAsking(entry, '/status/all')),
    ...Array.from({length: STATUS_CLIENTS}, async () => keepAsking(entry, '/closures/all')),
    ...Array.from({length: REPORT_CLIENTS}, async () => keepAsking(entry, '/reports/all')),
  ]));
  const unanswered = asked.filter(({tookMs}) => tookMs > TIMEOUT_MS);
  const late = unanswered.filter(({tookMs}) => tookMs > TIMEOUT_MS + LATE_MS);
  const ready = await Promise.all(deployment.hosts.map(async host => host.isReady()));
  return {
    isBroken: unanswered.length >= UNANSWERED_MIN && late.length > unanswered.length / 2,
    text: `${late.length} of ${unanswered.length} requests that were unanswered at ${TIMEOUT_MS} ms had no answer ${LATE_MS} ms later; ${ready.filter(isReady => !isReady).length} of ${ready.length} processes answer no readiness check at the end; ${countBy(asked.map(({path, status}) => `${path} ${status}`))}`,
  };
});
