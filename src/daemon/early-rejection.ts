/** Rejections by a listener, before admission control. */
import type {CallContext} from '../shared/call-context.js';
import type {EventLog} from './event-log.js';
import type {Headers} from './headers.js';
import {rejectionReply, type Reply} from './message.js';
import type {Metrics} from './metrics.js';
import {remedyFor, type RejectionReason} from './remedies.js';

/** Why a listener rejects a request that it has not forwarded. */
export type EarlyRejection = {
  reason: RejectionReason;
  /** Service that the request names, if it is declared. */
  service?: string;
  /** Call context, if it is known. */
  call?: CallContext;
  /** More specific remedy than the default one of the reason. */
  detail?: string;
  headers?: Headers;
};

/** Retry-after time of a process without a configuration, in milliseconds. Reading the configuration from the platform or a peer takes less. */
const NO_CONFIGURATION_RETRY_AFTER_MS = 200;

/** Creates a function that builds the reply of an early rejection, counts it and records its explanation. */
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
