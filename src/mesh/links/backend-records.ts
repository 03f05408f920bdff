/**
What backend servers have stated about themselves and must not be forgotten while they run: that they leave, and their rate limit.

The inbound proxy next to a backend server applies it. The processes that call it keep it as well, and tell the inbound proxy when they connect, because a restarted process knows nothing.
*/
import type {BackendRecord} from '../message.js';

/** Records of the backend servers of other hosts, by node. */
export type BackendRecords = {
  /** Keeps what the process of a host reports about its backend server. */
  put: (node: string, record: BackendRecord) => void;
  /** Record of the backend server next to a process; undefined when it has stated nothing. */
  of: (node: string) => BackendRecord | undefined;
};

/** Records that are kept; the one that was updated longest ago is dropped first. */
const RECORDS_MAX = 1000;

const isSameStart = (a: BackendRecord, b: BackendRecord): boolean => a.startedAt === b.startedAt && a.instance === b.instance;

/** Combines a known record with a newer report: a leaving is never revoked, and the rate limit is the reported one. */
export const mergeRecord = (known: BackendRecord | undefined, reported: BackendRecord): BackendRecord => {
  if (known === undefined || reported.startedAt > known.startedAt) {
    return reported;
  }

  return isSameStart(known, reported) ? {...reported, isLeaving: known.isLeaving || reported.isLeaving} : known;
};

/** Creates an empty set of records. */
export const createBackendRecords = (): BackendRecords => {
  const records = new Map<string, BackendRecord>();
  return {
    put(node, reported) {
      const record = mergeRecord(records.get(node), reported);
      records.delete(node);
      if (record.isLeaving || record.ratePerSecond !== undefined) {
        records.set(node, record);
      }

      if (records.size > RECORDS_MAX) {
        const [oldest] = records.keys();
        records.delete(oldest!);
      }
    },
    of: node => records.get(node),
  };
};
