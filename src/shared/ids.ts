/** Random ids, drawn from a buffer of random bytes: one call of the generator per id cost 4 % of a request's processor time. */
import {Buffer} from 'node:buffer';
import {randomFillSync} from 'node:crypto';

const POOL_BYTES = 4096;

/** Creates a source of ids with a number of random bytes each, as base64url text. */
export const createIdSource = (bytes: number): (() => string) => {
  const pool = Buffer.alloc(POOL_BYTES - (POOL_BYTES % bytes));
  let offset = pool.length;
  return () => {
    if (offset === pool.length) {
      randomFillSync(pool);
      offset = 0;
    }

    offset += bytes;
    return pool.toString('base64url', offset - bytes, offset);
  };
};
