/** Rejections by a listener, before any decision about load. */
import type {Call} from '../shared/call.js';
import type {EventLog} from './event-log.js';
import type {Headers} from './headers.js';
import {rejectionReply, type Reply} from './message.js';
import type {Metrics} from './metrics.js';
import {remedyFor, type RejectionReason} from './remedies.js';

/** Why a listener rejects a request; nothing has been passed on then. */
export type EarlyRejection = {
  reason: RejectionReason;
  /** Service that the request names, when it is declared. */
  service?: string;
  /** Context of the request, as far as it is known. */
  call?: Call;
  /** Remedy that is more exact than the usual one of the reason. */
  detail?: string;
  headers?: Headers;
};

/** Time after which a caller of a process without a configuration may come back, in milliseconds: a read of the platform or of a peer takes less. */
const NO_CONFIGURATION_RETRY_AFTER_MS = 200;

/** Creates the replies of a listener's rejections; each one is counted and can be explained. */
export const createEarlyRejector = ({metrics, eventLog}: {metrics: Metrics; eventLog: EventLog}) =>
  ({reason, service, call, detail, headers}: EarlyRejection): Reply => {
    const {status, message} = remedyFor(reason);
    const labels = {service: call?.service ?? service ?? '', requestKind: call?.requestKind ?? '', priority: call?.priority ?? 0};
    const remedy = detail ?? message;
    metrics.countRejection(reason, 'entry', labels);
    const explainId = eventLog.recordRejection({
      part: 'entry', requestId: call?.requestId ?? '', ...labels, group: call?.group ?? '', reason, outcome: 'not-run', fraction: 1, remedy,
    });
    return rejectionReply({
      status, reason, outcome: 'not-run', explainId, message: remedy, retryAfterMs: reason === 'no-configuration' ? NO_CONFIGURATION_RETRY_AFTER_MS : 0, fraction: 1, retryBudget: 0,
    }, headers);
  };
