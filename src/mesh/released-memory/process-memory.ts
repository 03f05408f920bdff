/** Released memory of this process, bounded by its setting for the memory of connections. */
import type {DecisionLog} from '../decision-log.js';
import {findGarbageCollector} from './garbage-collector.js';
import {measureMemoryUsage} from './memory-usage.js';
import {createReleasedMemory, type ReleasedMemory} from './released-memory.js';

/** Options of the released memory of this process. */
export type ProcessMemoryOptions = {
  now: () => number;
  log: Pick<DecisionLog, 'count' | 'write'>;
  /** Memory that the connections of callers hold at most, in bytes. */
  heldBytesMax: number;
  /** Memory that is known to be in use, in bytes. */
  heldBytes: () => number;
};

/** Released memory above which a garbage collection starts, as a share of the memory for connections of callers. */
const RELEASED_SHARE = 1 / 8;

/** Creates the bound on the released memory of this process; it counts and logs the collections. */
export const createProcessMemory = ({now, log, heldBytesMax, heldBytes}: ProcessMemoryOptions): ReleasedMemory => createReleasedMemory({
  now,
  bufferBytesMin: heldBytesMax,
  releasedBytesMax: heldBytesMax * RELEASED_SHARE,
  usage: measureMemoryUsage,
  heldBytes,
  findCollector: findGarbageCollector,
  onCollected({releasedBytes, pauseMs}) {
    log.count('collections', 'released-memory');
    log.write('debug', 'memory-collected', {releasedBytes, ms: Math.round(pauseMs)});
  },
});
