/**
Differences between configurations. At 33,000 changes a day, sending the whole configuration of 1 MB each time would
cost 380 KB/s per process; a difference contains the changed objects only.
*/
import {hashObjects, type Configuration} from '../../objects/configuration.js';
import type {DeclaredObject} from '../../objects/schema.js';
import type {ConfigurationChange} from './message.js';

type Piece = ConfigurationChange['pieces'][number];

const appendRun = (pieces: Piece[], start: number): void => {
  const last = pieces.at(-1);
  if (last !== undefined && 'start' in last && last.start + last.count === start) {
    last.count++;
  } else {
    pieces.push({start, count: 1});
  }
};

/** Computes the difference that leads from the base to the next configuration. */
export const describeChange = (base: Configuration, next: Configuration): ConfigurationChange => {
  const positions = new Map(base.objects.map((object, index) => [JSON.stringify(object), index]));
  const pieces: Piece[] = [];
  for (const object of next.objects) {
    const start = positions.get(JSON.stringify(object));
    if (start === undefined) {
      pieces.push({put: object});
    } else {
      appendRun(pieces, start);
    }
  }

  // Only the command line uses the list of last changes, and reads it from the platform; here it would add up to 60 KB to each difference.
  const {objects: _, changes: __, ...head} = next;
  return {
    baseSequence: base.sequence, baseHash: base.hash, head, pieces,
  };
};

/** Applies a difference to its base; undefined when the result does not have the stated hash. */
export const applyChange = (base: Configuration, change: ConfigurationChange): Configuration | undefined => {
  const objects = change.pieces.flatMap((piece): DeclaredObject[] =>
    'put' in piece ? [piece.put] : base.objects.slice(piece.start, piece.start + piece.count));
  return hashObjects(objects) === change.head.hash ? {...change.head, objects} : undefined;
};
