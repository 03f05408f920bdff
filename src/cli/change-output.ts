/** Output of the commands that change the configuration. */
import {ok, type Result} from '../shared/result.js';
import type {ChangeOutcome} from './change.js';
import type {CommandError} from './error.js';
import type {Output} from './output.js';
import {formatDifference, type Difference} from './edit-plan.js';

const formatSummary = ({sequence, written, differences}: ChangeOutcome): string => {
  if (differences.length === 0) {
    return `nothing to change; the configuration has sequence ${sequence}`;
  }

  return written ? `accepted as sequence ${sequence}` : `nothing was written; the configuration has sequence ${sequence}`;
};

const toDifferenceData = (difference: Difference) => ({kind: difference.kind, object: difference.key, lines: formatDifference(difference).slice(1)});

/** Renders the outcome of a change; warnings are passed to `printToStderr`. */
export const renderChangeOutcome = (
  changed: Result<ChangeOutcome, CommandError>,
  printToStderr: (lines: readonly string[]) => void,
): Result<Output, CommandError> => {
  if (changed.kind === 'error') {
    return changed;
  }

  const {sequence, written, differences, warnings} = changed.value;
  printToStderr(warnings);
  return ok({
    data: {
      sequence, written, differences: differences.map(difference => toDifferenceData(difference)), warnings,
    },
    text: [...differences.flatMap(difference => formatDifference(difference)), formatSummary(changed.value)].join('\n'),
  });
};
