/** Guards against metrics without a bound, and against names that end a label. */
import test from 'ava';
import {createBoundedNames, OTHER_LABEL} from '../bounded-names.js';

test('the first names get their own label, all others share one', t => {
  const labelOf = createBoundedNames(2);
  t.deepEqual(['a', 'b', 'c', 'a', 'd'].map(name => labelOf(name)), ['a', 'b', OTHER_LABEL, 'a', OTHER_LABEL]);
});

test('a label has no characters that would end it', t => {
  t.is(createBoundedNames(1)('x"\n\\y'), 'x___y');
});
