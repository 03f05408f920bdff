/** Suggests corrections for mistyped names. */

const editDistance = (left: string, right: string): number => {
  let previous = Array.from({length: right.length + 1}, (_, index) => index);
  for (const [row, leftCharacter] of [...left].entries()) {
    const current = [row + 1];
    for (const [column, rightCharacter] of [...right].entries()) {
      current.push(Math.min(
        previous[column + 1]! + 1,
        current[column]! + 1,
        previous[column]! + (leftCharacter === rightCharacter ? 0 : 1),
      ));
    }

    previous = current;
  }

  return previous[right.length]!;
};

// Candidates that differ in more than a third of the characters are more often wrong than right.
const DISTANCE_LIMIT_RATIO = 1 / 3;
const DISTANCE_LIMIT_MIN = 2;

/** Returns the candidate with the smallest edit distance to a word, or undefined when none is close. */
export const findClosest = (word: string, candidates: readonly string[]): string | undefined => {
  const limit = Math.max(DISTANCE_LIMIT_MIN, Math.floor(word.length * DISTANCE_LIMIT_RATIO));
  const [best] = candidates
    .filter(candidate => Math.abs(candidate.length - word.length) <= limit)
    .map(candidate => ({candidate, distance: editDistance(word.toLowerCase(), candidate.toLowerCase())}))
    .filter(({distance}) => distance <= limit)
    .sort((a, b) => a.distance - b.distance);
  return best?.candidate;
};

// A longer list would hide the error in the output.
const LISTED_CANDIDATES_MAX = 20;

/** Suggests the closest candidate, or lists the candidates when none is close; undefined when there are no candidates. */
export const suggestCorrection = (word: unknown, candidates: readonly string[]): string | undefined => {
  const closest = typeof word === 'string' ? findClosest(word, candidates) : undefined;
  if (closest !== undefined) {
    return `did you mean \`${closest}\`?`;
  }

  const listed = candidates.slice(0, LISTED_CANDIDATES_MAX).join(', ');
  return candidates.length === 0 ? undefined : `use one of: ${listed}${candidates.length > LISTED_CANDIDATES_MAX ? ', …' : ''}`;
};
