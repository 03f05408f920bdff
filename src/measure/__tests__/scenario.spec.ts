/** Guards against invalid scenario files being accepted, which would measure something other than intended. */
import {readdirSync} from 'node:fs';
import test from 'ava';
import {parseScenario, readScenario} from '../scenario.js';

const valid = {
  name: 'x', title: 'x', deployment: 'rogge-nord', durationMs: 10_000, trigger: {fromMs: 2000, toMs: 4000},
  events: [{
    kind: 'lost-host', service: 'chiuse', index: 0, atMs: 2000,
  }],
};

const cases: Array<[title: string, change: Record<string, unknown>, message: RegExp]> = [
  ['an unknown deployment', {deployment: 'nowhere'}, /rogge-nord/u],
  ['a trigger after the end', {trigger: {fromMs: 2000, toMs: 11_000}}, /trigger/u],
  ['a trigger without normal load before it', {trigger: {fromMs: 0, toMs: 4000}}, /1000 ms of normal load/u],
  ['a run that is too long', {durationMs: 30_000}, /durationMs/u],
  ['an event of an unknown kind', {events: [{kind: 'meteor', atMs: 1}]}, /events/u],
  ['an event with an unknown key', {events: [{...valid.events[0], at: 1}]}, /Unrecognized key/u],
  ['no event', {events: []}, /events/u],
  ['an unknown key', {seed: 1}, /Unrecognized key/u],
];

for (const [title, change, message] of cases) {
  test(`a scenario with ${title} is rejected`, t => {
    t.throws(() => parseScenario({...valid, ...change}, 'x.json'), {message});
  });
}

test('every scenario file of the project is valid and named after its scenario', t => {
  const directory = new URL('../scenarios/', import.meta.url);
  const files = readdirSync(directory);
  t.deepEqual(files.map(file => `${readScenario(new URL(file, directory).pathname).name}.json`), files);
});
