/** An upstream spoils a byte in the head of some of its answers. */
import {Buffer} from 'node:buffer';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {runCase} from '../stand-ins/case.mjs';
import {
  configurationOf, createDeployment, route, sleep,
} from '../stand-ins/deployment.mjs';
import {startClient} from '../stand-ins/client.mjs';
import {
  countEnds, countOutcomes, findLost, LOST_MAX,
} from '../stand-ins/checks.mjs';

const CLIENTS_PER_HOST = 16;
const BEFORE_MS = 5000;
/** Garble: for_s = 5. */
const SPOILED_MS = 5000;
/** Of 50 answers of the spoiling upstreams, one is spoiled: x = 0.02. */
const SPOILED_EVERY = 50;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({record, hasTrouble, onEnd}) => {
  let isSpoiling = false;
  /** Half of the upstreams of each service spoil answers: share = 0.5. */
  const createAnswer = index => {
    let answers = 0;
    return (_run, head, body) => {
      answers++;
      if (!isSpoiling || index % 2 === 1 || answers % SPOILED_EVERY !== 0) {
        return undefined;
      }

      const spoiled = head.map(line => line.replace('text/plain', 'text/\u0001lain'));
      return {isSpoiled: true, bytes: Buffer.concat([Buffer.from(`${spoiled.join('\r\n')}\r\n\r\n`, 'latin1'), body])};
    };
  };

  const deployment = await createDeployment({
    record,
    hosts: [
      {service: 'statusrog', zone: 'nord-a'}, {service: 'statusrog', zone: 'nord-b'}, {service: 'chiuse', zone: 'nord-a'}, {service: 'chiuse', zone: 'nord-b'},
    ],
    configuration: configurationOf({'channel-status': route('statusrog'), 'crew-roster': route('chiuse')}),
    backendOptions: ({index}) => ({answer: createAnswer(index)}),
  });
  onEnd(deployment.stop);
  await deployment.start();
  const results = [];
  const clients = deployment.hosts.flatMap(({entry}) => Array.from({length: CLIENTS_PER_HOST}, (_, index) => startClient({
    entry, results, record, next: () => [{path: `/${index % 2 === 0 ? 'statusrog' : 'chiuse'}/work-160/`}],
  })));
  await sleep(BEFORE_MS);
  isSpoiling = hasTrouble;
  await sleep(SPOILED_MS);
  isSpoiling = false;
  await Promise.all(clients.map(async client => client.stop()));
  const soundInstances = new Set(deployment.hosts.filter((_, index) => index % 2 === 1).flatMap(({backend}) => backend.runs.map(({instance}) => instance)));
  const lost = findLost(deployment, results, {isSound: ({instance}) => soundInstances.has(instance)});
  return {
    broken: lost.length > LOST_MAX,
    summary: {
      lostAtSoundUpstreams: lost.length,
      neverAnswered: results.filter(({outcome}) => outcome === 'unanswered').length,
      spoiledAnswers: deployment.hosts.flatMap(({backend}) => backend.runs).filter(({state}) => state === 'spoiled').length,
      answers: deployment.hosts.flatMap(({backend}) => backend.runs).length,
      outcomes: countOutcomes(results),
      endedByThemselves: countEnds(deployment),
    },
  };
});
