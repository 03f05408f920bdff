/** Access to the garbage collector of the runtime. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Returns a function that collects all garbage; undefined where the runtime does not offer one. */
export const findGarbageCollector = (): (() => void) | undefined => {
  try {
    // The flag only takes effect in contexts that are created after it.
    setFlagsFromString('--expose-gc');
    return runInNewContext('typeof gc === "function" ? () => gc() : undefined') as (() => void) | undefined;
  } catch {
    return undefined;
  }
};
