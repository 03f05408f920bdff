/** Guards against example deployments that are invalid, whose urgent and non-idempotent requests do not come first, or that leave requests without a priority. */
import {readdir, readFile} from 'node:fs/promises';
import test from 'ava';
import {compilePolicy} from '../policy.js';
import {checkObjects} from '../validation.js';

const load = async (deployment: string): Promise<unknown[]> => {
  const directory = new URL(`../../../playground/${deployment}/`, import.meta.url);
  const files = await readdir(directory);
  const texts = await Promise.all(files.filter(file => file.endsWith('.json')).map(async file => readFile(new URL(file, directory), 'utf8')));
  return texts.flatMap(text => JSON.parse(text) as unknown[]);
};

const deployments: Array<[deployment: string, services: string[], atMostOnce: string[]]> = [
  ['rogge-nord', ['chiuse', 'fotoargine', 'registro', 'statusrog'], ['closure-booking']],
  ['plaques-bleues', ['archives', 'endorsements', 'filings', 'scans'], ['endorsement', 'filing']],
];

for (const [deployment, services, atMostOnce] of deployments) {
  test(`playground/${deployment} is valid and puts ${atMostOnce.join(' and ')} first`, async t => {
    const {objects, diagnostics} = checkObjects(await load(deployment));
    t.deepEqual(diagnostics, []);
    const policy = compilePolicy(objects ?? []);
    const treatments = [...policy.treatments.values()].flat();
    t.deepEqual([...policy.treatments.keys()], services);
    t.deepEqual(treatments.filter(({idempotent}) => !idempotent).map(({requestKind}) => requestKind).sort(), atMostOnce);
    t.deepEqual(treatments.filter(({priority}) => priority === 0).map(({requestKind}) => requestKind).sort(), atMostOnce);
    t.true(treatments.every(({priority}) => priority < policy.priorityCount - 1));
  });
}
