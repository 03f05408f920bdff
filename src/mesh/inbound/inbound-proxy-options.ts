/** What the inbound proxy needs of the rest of the process. */
import type {DecisionLog} from '../decision-log.js';
import type {HttpDialect} from '../entry/http-dialect.js';
import type {BackendState} from '../message.js';
import type {CrashGuard} from './crash-guard.js';
import type {Departure} from './departures.js';
import type {DownstreamFailures} from './inbound-call.js';

/** Options of the inbound proxy. */
export type InboundProxyOptions = {
  dialect: HttpDialect;
  now: () => number;
  log: DecisionLog;
  /** Longest time for which a draining or leaving backend server may still receive calls, in milliseconds. */
  drainMs: number;
  /** Window of the retry budget, in milliseconds. */
  retryWindowMs: number;
  /** Interval at which the backend server announces itself, in milliseconds. */
  announcementMs: number;
  crashGuard: Pick<CrashGuard, 'assess' | 'merge' | 'recordCrash' | 'recordEnd'>;
  /** Recent failures of calls made from this host. */
  downstreamFailures: () => DownstreamFailures;
  /** Number of connections that a backend server of a service accepts. */
  connectionLimit: (service: string) => number;
  /** Memory above which long responses of the backend server wait for each other, in bytes. @default 16777216 */
  responseWaitBytes?: number;
  /** Memory of complete responses that wait to be sent to other processes, in bytes. @default 0 */
  unsentBytes?: () => number;
  /** Whether released memory leaves room for another long response or long body of a call. @default () => true */
  hasRoom?: () => boolean;
  /** Memory that the bodies of calls from other processes hold at most, in bytes; a body counts from its grant or first byte until the result of its call. @default 33554432 */
  bodyBytesMax?: number;
  /** Called when the state that is published to other processes has changed. */
  onStateChange: (state: BackendState) => void;
  /** Called with all departures of the backend server when there is a new one, which has to outlast this process. */
  onDeparture?: (departures: Departure[]) => void;
  /** Whether the store may hold departures that this process does not know yet; see `restoreDepartures`. @default false */
  awaitsDepartures?: boolean;
};
