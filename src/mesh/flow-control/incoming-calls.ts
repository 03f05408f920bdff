/** Calls that one peer sends, from the grant of their body to their result. */
import {Buffer} from 'node:buffer';
import type {DecisionLog} from '../decision-log.js';
import type {ErrorBoundary} from '../error-boundary.js';
import type {InboundProxy} from '../inbound/inbound-proxy.js';
import {FRAME_MAX_BYTES, type BodyFilter} from '../links/frame.js';
import type {CallResult, Message, RefusalReason} from '../message.js';
import {isLongBody} from './body-account.js';
import {MEMORY_RETRY_AFTER_MS, type CallBody, type WaitingBody} from './body-grants.js';

/** Message with a call. */
export type CallMessage = Extract<Message, {type: 'call'}>;

/** Message about a call that the peer has sent. */
export type IncomingCallMessage = Extract<Message, {type: 'call' | 'body' | 'cancel'}>;

/** Whether a message belongs to the calls of a link. */
export const isIncomingCallMessage = (message: Message): message is IncomingCallMessage =>
  message.type === 'call' || message.type === 'body' || message.type === 'cancel';

/** Calls of one link. */
export type IncomingCalls = {
  /** Counts a long body when the first bytes of its frame arrive. */
  acceptBody: BodyFilter;
  /** Takes a call, or the body of one that has been granted, for `handleReceived`; cancels a call, also one that was received in the same chunk. Throws when the message is outside of the protocol. */
  receive: (message: IncomingCallMessage, body: Buffer) => void;
  /** Handles the calls of the current chunk; called once the whole chunk is parsed, so that a cancellation in the same chunk takes effect. */
  handleReceived: () => void;
  /** Refuses calls whose time has passed before their body arrived; called periodically. */
  tick: () => void;
  /** Cancels all calls when the link is lost. */
  close: () => void;
};

/** Options of the calls of one link. */
export type IncomingCallsOptions = {
  now: () => number;
  log: Pick<DecisionLog, 'count' | 'write'>;
  boundary: ErrorBoundary;
  inboundProxy: Pick<InboundProxy, 'submit' | 'cancel' | 'bodies'>;
  /** Prefix that makes the ids of this link unique within the process. */
  keyPrefix: string;
  /** Estimates how late a message arrives, in milliseconds, from the time at which it was sent. */
  lateMs: (sentAt: number) => number;
  /** Releases the memory of a body that is being received for a call that has ended. */
  dropUnwanted: () => void;
  sendGrant: (id: number) => void;
  sendResult: (message: CallMessage, result: CallResult, body: Buffer) => void;
  /** Reports a call that ended with an unexpected error, which may have run. */
  sendFailure: (message: CallMessage) => void;
};

type ReceivedCall = {message: CallMessage; arrivedAt: number; deadlineAt: number};

/** Call that has no result yet. */
type CallState = ReceivedCall & (
  /** The body waits at the peer. */
  | {phase: 'waiting'; waiting: WaitingBody}
  /** The body is counted, and has not arrived yet. */
  | {phase: 'receiving'; bytes: number; held: CallBody}
  /** The call has been passed to the inbound proxy. */
  | {phase: 'submitted'; held: CallBody}
);

const NO_BODY = Buffer.alloc(0);

const REMEDY = 'update the process at the other end, or report this line if it has the same version';

const assertValidLength = (id: number, bytes: number): void => {
  if (!Number.isSafeInteger(bytes) || !isLongBody(bytes) || bytes > FRAME_MAX_BYTES) {
    throw new RangeError(`call ${id} announces a body of ${bytes} bytes, which is outside of the protocol; ${REMEDY}`);
  }
};

const assertGrantedLength = (id: number, grantedBytes: number, bytes: number): void => {
  if (bytes !== grantedBytes) {
    throw new RangeError(`call ${id} was sent with a body of ${bytes} bytes in place of one of ${grantedBytes} bytes; ${REMEDY}`);
  }
};

/** Creates the calls of a link, without any. */
export const createIncomingCalls = (options: IncomingCallsOptions): IncomingCalls => {
  const {
    now, log, inboundProxy, boundary,
  } = options;
  const calls = new Map<number, CallState>();
  /** Calls that are complete and were received in the current chunk, by id. */
  let received = new Map<number, {message: CallMessage; handle: () => void}>();

  const keyOf = (id: number): string => `${options.keyPrefix}${id}`;

  const toReceived = (message: CallMessage): ReceivedCall => {
    const remainingMs = message.call.remainingMs - options.lateMs(message.sentAt);
    return {message, arrivedAt: now(), deadlineAt: now() + remainingMs};
  };

  const releaseCall = (id: number): CallState | undefined => {
    const state = calls.get(id);
    calls.delete(id);
    switch (state?.phase) {
      case undefined: {
        break;
      }

      case 'waiting': {
        state.waiting.withdraw();
        break;
      }

      case 'receiving': {
        // Releasing the account may grant another body at once.
        options.dropUnwanted();
        state.held.release();
        break;
      }

      case 'submitted': {
        state.held.release();
      }
    }

    return state;
  };

  const refuse = (message: CallMessage, bytes: number, reason: RefusalReason, retryAfterMs: number): void => {
    log.count('door_refusals', reason);
    log.write('info', 'body-refused', {
      request: message.call.requestId, reason, route: message.call.route, priority: message.call.priority, bytes, heldBytes: inboundProxy.bodies.heldBytes(), waiting: inboundProxy.bodies.waiting(),
    });
    options.sendResult(message, {
      kind: 'refused', reason, arrived: false, retryAfterMs,
    }, NO_BODY);
  };

  const submit = (call: ReceivedCall, body: Buffer, held: CallBody): void => {
    const {message, arrivedAt, deadlineAt} = call;
    const {id} = message;
    calls.set(id, {...call, phase: 'submitted', held});
    held.recordSubmitted();
    inboundProxy.submit({
      key: keyOf(id),
      call: {...message.call, remainingMs: deadlineAt - now(), targetMs: message.call.targetMs - (now() - arrivedAt)},
      body,
      onResult(result, responseBody) {
        releaseCall(id);
        options.sendResult(message, result, responseBody);
      },
    });
  };

  const awaitGrant = (call: ReceivedCall, bytes: number): void => {
    const {message, deadlineAt} = call;
    const {id} = message;
    // The grant or the refusal may come before the request returns.
    let isDecided = false;
    const waiting = inboundProxy.bodies.request({
      bytes,
      priority: message.call.priority,
      deadlineAt,
      onGranted(held) {
        isDecided = true;
        calls.set(id, {
          ...call, phase: 'receiving', bytes, held,
        });
        options.sendGrant(id);
      },
      onRefused(reason, retryAfterMs) {
        isDecided = true;
        calls.delete(id);
        refuse(message, bytes, reason, retryAfterMs);
      },
    });
    if (!isDecided) {
      calls.set(id, {...call, phase: 'waiting', waiting});
    }
  };

  const handleNewCall = (message: CallMessage, body: Buffer): void => {
    const call = toReceived(message);
    if (message.bodyBytes !== undefined) {
      awaitGrant(call, message.bodyBytes);
      return;
    }

    const held = inboundProxy.bodies.holdUngranted(body.length);
    if (held === undefined) {
      refuse(message, body.length, 'memory-full', MEMORY_RETRY_AFTER_MS);
    } else {
      submit(call, body, held);
    }
  };

  /** Passes on a call whose body has been counted and is complete; a second body of the same call is ignored. */
  const addComplete = (state: Extract<CallState, {phase: 'receiving'}>, body: Buffer): void => {
    const {message} = state;
    if (!received.has(message.id)) {
      received.set(message.id, {
        message, handle() {
          if (calls.get(message.id) === state) {
            submit(state, body, state.held);
          }
        },
      });
    }
  };

  /** Whether the body of a call is still wanted while it arrives. */
  const isReceiving = (id: number): boolean => calls.get(id)?.phase === 'receiving';

  /** Decides whether a body is received that its message announces; one of another length than was granted is outside of the protocol. */
  const acceptGranted = (id: number, bytes: number): boolean => {
    const state = calls.get(id);
    if (state?.phase !== 'receiving' || received.has(id)) {
      return false;
    }

    assertGrantedLength(id, state.bytes, bytes);
    return true;
  };

  /** Counts a long body that its peer sends without a grant, as processes of earlier versions do. */
  const acceptUngranted = (message: CallMessage, bytes: number): boolean => {
    assertUnused(message.id);
    const held = inboundProxy.bodies.holdUngranted(bytes);
    if (held === undefined) {
      refuse(message, bytes, 'memory-full', MEMORY_RETRY_AFTER_MS);
      return false;
    }

    calls.set(message.id, {
      ...toReceived(message), phase: 'receiving', bytes, held,
    });
    return true;
  };

  const assertUnused = (id: number): void => {
    if (calls.has(id) || received.has(id)) {
      throw new RangeError(`call ${id} has the id of a call without a result; ${REMEDY}`);
    }
  };

  const receiveCall = (message: CallMessage, body: Buffer): void => {
    const state = calls.get(message.id);
    if (state?.phase === 'receiving' && state.message === message) {
      addComplete(state, body);
      return;
    }

    assertUnused(message.id);
    if (message.bodyBytes !== undefined) {
      assertValidLength(message.id, message.bodyBytes);
    }

    received.set(message.id, {
      message, handle() {
        handleNewCall(message, body);
      },
    });
  };

  /** Takes the body of a call that has been granted; that of a call that has ended meanwhile is dropped. */
  const receiveBody = (id: number, body: Buffer): void => {
    const state = calls.get(id);
    if (state?.phase !== 'receiving') {
      return;
    }

    assertGrantedLength(id, state.bytes, body.length);
    addComplete(state, body);
  };

  /** Ends a call without a result. */
  const end = (id: number): void => {
    if (releaseCall(id)?.phase === 'submitted') {
      inboundProxy.cancel(keyOf(id));
    }
  };

  return {
    acceptBody(message, bytes) {
      if (message.type !== 'body' && message.type !== 'call') {
        return () => true;
      }

      const isAccepted = message.type === 'body' ? acceptGranted(message.id, bytes) : acceptUngranted(message, bytes);
      return isAccepted ? () => isReceiving(message.id) : undefined;
    },
    receive(message, body) {
      switch (message.type) {
        case 'call': {
          receiveCall(message, body);
          break;
        }

        case 'body': {
          receiveBody(message.id, body);
          break;
        }

        case 'cancel': {
          received.delete(message.id);
          end(message.id);
        }
      }
    },
    handleReceived() {
      if (received.size === 0) {
        return;
      }

      const batch = received;
      received = new Map();
      for (const {message, handle} of batch.values()) {
        boundary.run(message.call.requestId, handle, () => {
          releaseCall(message.id);
          options.sendFailure(message);
        });
      }
    },
    tick() {
      for (const state of calls.values()) {
        if (state.phase === 'receiving' && state.deadlineAt <= now()) {
          releaseCall(state.message.id);
          refuse(state.message, state.bytes, 'deadline-passed', 0);
        }
      }
    },
    close() {
      const states = [...calls.values()];
      // They are withdrawn together and first, so that none is granted to the lost link.
      const waiting = states.flatMap(state => state.phase === 'waiting' ? [state.waiting] : []);
      if (waiting.length > 0) {
        inboundProxy.bodies.withdrawAll(waiting);
      }

      for (const {message} of states) {
        end(message.id);
      }
    },
  };
};
