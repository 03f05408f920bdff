/** Output of the commands that change the configuration. */
import {ok, type Result} from '../shared/result.js';
import type {ChangeOutcome} from './change.js';
import type {CommandFault} from './fault.js';
import type {Output} from './output.js';
import {differenceLines, type Difference} from './plan.js';

const summaryOf = ({sequence, written, differences}: ChangeOutcome): string => {
  if (differences.length === 0) {
    return `nothing to change; the configuration has sequence ${sequence}`;
  }

  return written ? `accepted as sequence ${sequence}` : `nothing was written; the configuration has sequence ${sequence}`;
};

const differenceData = (difference: Difference) => ({kind: difference.kind, object: difference.key, lines: differenceLines(difference).slice(1)});

/** Renders the outcome of a change; warnings go to `printNotes`. */
export const changeOutput = (
  changed: Result<ChangeOutcome, CommandFault>,
  printNotes: (lines: readonly string[]) => void,
): Result<Output, CommandFault> => {
  if (changed.kind === 'error') {
    return changed;
  }

  const {sequence, written, differences, warnings} = changed.value;
  printNotes(warnings);
  return ok({
    data: {
      sequence, written, differences: differences.map(difference => differenceData(difference)), warnings,
    },
    text: [...differences.flatMap(difference => differenceLines(difference)), summaryOf(changed.value)].join('\n'),
  });
};
