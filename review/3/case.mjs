/** An upstream sends an answer in chunks of one byte, without end, in place of some of its answers. */
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
/** Chunks of one byte, as many as are written at once. */
const ONE_BYTE_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(10_000));

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({record, hasTrouble, onEnd}) => {
  let isSpoiling = false;
  /** Half of the upstreams spoil answers, share = 0.5: one of each service, and one in each zone. */
  const isSpoiler = index => index === 0 || index === 3;
  const createAnswer = index => {
    let answers = 0;
    return (_run, head) => {
      answers++;
      if (!isSpoiling || !isSpoiler(index) || answers % SPOILED_EVERY !== 0) {
        return undefined;
      }

      const lines = [...head.filter(line => !line.startsWith('Content-Length')), 'Transfer-Encoding: chunked'];
      return {isSpoiled: true, bytes: Buffer.from(`${lines.join('\r\n')}\r\n\r\n`), endless: ONE_BYTE_CHUNKS};
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
  const soundInstances = new Set(deployment.hosts.filter((_, index) => !isSpoiler(index)).flatMap(({backend}) => backend.runs.map(({instance}) => instance)));
  const lost = findLost(deployment, results, {isSound: ({instance}) => soundInstances.has(instance)});
  return {
    broken: lost.length > LOST_MAX,
    summary: {
      lostAtSoundUpstreams: lost.length,
      neverAnswered: results.filter(({outcome}) => outcome === 'unanswered').length,
      spoiledAnswers: deployment.hosts.flatMap(({backend}) => backend.runs).filter(({state}) => state === 'spoiled').length,
      megabytesOfEach: deployment.hosts.flatMap(({backend}) => backend.runs).filter(({bytesSent}) => bytesSent !== undefined).map(({bytesSent}) => Math.round(bytesSent / 1e5) / 10),
      answers: deployment.hosts.flatMap(({backend}) => backend.runs).length,
      outcomes: countOutcomes(results),
      endedByThemselves: countEnds(deployment),
    },
  };
});
