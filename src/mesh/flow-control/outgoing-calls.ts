/** Calls that are sent over one link, until their result. The body of a long call stays here until the peer grants it. */
import {Buffer} from 'node:buffer';
import type {DecisionLog} from '../decision-log.js';
import {findHeadFault} from '../entry/response-head.js';
import type {ErrorBoundary} from '../error-boundary.js';
import type {CallHeader, CallResult, Message} from '../message.js';
import {isLongBody} from './body-account.js';

/** Result of a call over a link; undefined when the link closed before the result arrived. */
export type PeerCallResult =
  | {result: CallResult; body: Buffer}
  /** The call may have run. */
  | undefined;

/** Call to be sent. */
export type OutgoingCall = {id: number; call: CallHeader; body: Buffer; onResult: (result: PeerCallResult) => void};

/** Calls of one link. */
export type OutgoingCalls = {
  /** Sends a call; with `waitsForGrant`, a long body only once it is granted. */
  send: (outgoing: OutgoingCall, waitsForGrant: boolean) => void;
  /** Sends the body of a call that the peer has granted. */
  sendBody: (id: number) => void;
  /** Hands over a result. */
  receiveResult: (id: number, result: CallResult, body: Buffer) => void;
  cancel: (id: number) => void;
  /** Ends all calls because the link is lost: those whose body was not sent have not run. */
  failAll: () => void;
  /** Number of calls without a result. */
  count: () => number;
};

/** Options of the calls of one link. */
export type OutgoingCallsOptions = {
  now: () => number;
  log: Pick<DecisionLog, 'count' | 'write'>;
  boundary: ErrorBoundary;
  /** Name of the peer for the log. */
  peer: () => string;
  send: (message: Message, body?: Buffer) => void;
};

type PendingCall = {requestId: string; onResult: OutgoingCall['onResult']; unsentBody: Buffer | undefined};

const NO_BODY = Buffer.alloc(0);

/** Result of a call that was not sent, or not completely, so that it can go elsewhere. */
export const createUnsentResult = (): PeerCallResult => ({
  result: {
    kind: 'refused', reason: 'peer-silent', arrived: false, retryAfterMs: 0,
  }, body: NO_BODY,
});

/** Creates the calls of a link, without any. */
export const createOutgoingCalls = ({now, log, boundary, peer, send}: OutgoingCallsOptions): OutgoingCalls => {
  const pending = new Map<number, PendingCall>();

  /** A response whose head cannot be passed on counts as lost, since the call has run; the link goes on in any case. */
  const passResult = ({requestId, onResult}: PendingCall, result: CallResult, body: Buffer): void => {
    const fault = result.kind === 'answered' ? findHeadFault(result) : undefined;
    if (fault !== undefined) {
      log.count('link_protocol', 'answer-head-invalid');
      log.write('warn', 'answer-head-invalid', {request: requestId, peer: peer(), cause: fault});
    }

    boundary.run(requestId, () => {
      onResult(fault === undefined ? {result, body} : {result: {kind: 'lost', cause: `the response head is invalid: ${fault}`}, body: NO_BODY});
    }, () => undefined);
  };

  return {
    send({id, call, body, onResult}, waitsForGrant) {
      const isUnsent = waitsForGrant && isLongBody(body.length);
      pending.set(id, {requestId: call.requestId, onResult, unsentBody: isUnsent ? body : undefined});
      if (isUnsent) {
        send({
          type: 'call', id, sentAt: now(), call, bodyBytes: body.length,
        });
      } else {
        send({
          type: 'call', id, sentAt: now(), call,
        }, body);
      }
    },
    sendBody(id) {
      const call = pending.get(id);
      if (call?.unsentBody !== undefined) {
        const body = call.unsentBody;
        call.unsentBody = undefined;
        send({type: 'body', id}, body);
      }
    },
    receiveResult(id, result, body) {
      const call = pending.get(id);
      pending.delete(id);
      if (call !== undefined) {
        passResult(call, result, body);
      }
    },
    cancel(id) {
      if (pending.delete(id)) {
        send({type: 'cancel', id});
      }
    },
    failAll() {
      const lost = [...pending.values()];
      pending.clear();
      for (const {onResult, unsentBody} of lost) {
        onResult(unsentBody === undefined ? undefined : createUnsentResult());
      }
    },
    count: () => pending.size,
  };
};
