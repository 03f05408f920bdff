/** Random ids. Random bytes are generated in blocks, because one generator call per id took 4 % of a request's CPU time. */
import {Buffer} from 'node:buffer';
import {randomFillSync} from 'node:crypto';

/** Upper bound of the size of a block of random bytes. */
const POOL_BYTES = 4096;

/** Creates a function that returns a new id on each call: a number of random bytes, encoded as base64url. */
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
