/** Calls to the backend server of this host, from their arrival to their result. */
import type {Buffer} from 'node:buffer';
import type {CallHeader, CallResult} from '../message.js';
import type {RunningExchange} from './backend-connection-pool.js';
import type {Dispatch} from './backend-status.js';

/** A call to the backend server of this host. */
export type InboundCall = {
  /** Unique within this process. */
  key: string;
  call: CallHeader;
  body: Buffer;
  onResult: (result: CallResult, body: Buffer) => void;
};

/** A call from its arrival to its result; `run` is set once it has been dispatched. */
export type ActiveCall = {
  inbound: InboundCall;
  arrivedAt: number;
  deadlineAt: number;
  run: (Dispatch & {exchange: RunningExchange | undefined}) | undefined;
  ended: boolean;
};

/** Recent failures of calls that were made from this host, which may belong to a call that its backend server is running. */
export type DownstreamFailures = {
  /** Time of the last failure, in milliseconds of the clock. */
  lastFailureAt: number;
  /** Time of the last failure caused by an overloaded service, by that service. */
  overloadedAt: Map<string, number>;
};

/** Services whose overload has made a call fail since a time. */
export const overloadedSince = ({overloadedAt}: DownstreamFailures, startedAt: number): string[] =>
  [...overloadedAt].filter(([, at]) => at >= startedAt).map(([service]) => service);
