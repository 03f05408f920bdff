/** Guards against a client that puts its work into a group it does not belong to. */
import test from 'ava';
import {encodeGroup, readGroup} from '../group.js';

const KEY = 'test-key';
const header = encodeGroup('society.a', KEY);

const cases: Array<[title: string, header: string, name: string | undefined]> = [
  ['as issued', header, 'society.a'],
  ['for another group', header.replace('society.a', 'society.b'), undefined],
  ['with a cut code', header.slice(0, -1), undefined],
  ['without a code', 'society', undefined],
  ['that is empty', '', undefined],
];

for (const [title, text, name] of cases) {
  test(`a group header ${title} reads as ${name ?? 'none'}`, t => {
    t.is(readGroup(text, KEY), name);
  });
}
