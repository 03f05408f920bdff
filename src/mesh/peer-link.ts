/** Connection from this process to another one, over which calls are sent to the backend server there. */
import {connect, type Socket} from 'node:net';
import {Buffer} from 'node:buffer';
import {splitAddress} from '../shared/address.js';
import type {DecisionLog} from './decision-log.js';
import {
  createFrameReader, createFrameWriter, type Frame, type FrameWriter,
} from './frame.js';
import {createLinkLiveness} from './link-liveness.js';
import type {
  BackendLoad, BackendState, CallHead, DoorResult, Member, Message,
} from './message.js';

/** Result of a call that was sent over a link. */
export type LinkResult =
  | {result: DoorResult; body: Buffer}
  /** The link closed before the result came; the call may have run. */
  | undefined;

/** A link. */
export type PeerLink = {
  address: string;
  /** Member at the other end; undefined before its first message. */
  member: () => Member | undefined;
  state: () => BackendState;
  /** Whether the other end has been heard within the last moments. */
  isLive: () => boolean;
  isOpen: () => boolean;
  /** Calls sent since the last report of the load there. */
  sentSinceReport: () => number;
  call: (call: CallHead, body: Buffer, onResult: (result: LinkResult) => void) => {cancel: () => void};
  send: (message: Message) => void;
  tick: () => void;
  /** This process stood still: what the other end has sent meanwhile has not been read yet. */
  resume: () => void;
  close: () => void;
};

/** Options of a link. */
export type PeerLinkOptions = {
  address: string;
  now: () => number;
  log: DecisionLog;
  hello: () => Message;
  ping: () => Message;
  /** A message that is not about a call. */
  onMessage: (link: PeerLink, message: Message) => void;
};

const CONNECT_TIMEOUT_MS = 700;
const NO_BODY = Buffer.alloc(0);
const REDIAL_MIN_MS = 100;
/** Longest pause between two dials, in milliseconds; a process that is back is reached within this time. */
const REDIAL_MAX_MS = 1000;

/** Time within which the other end must have been heard before a call that must not run twice is sent, in milliseconds: a cut is then noticed while nothing is lost yet. */
const CONFIRM_AGE_MS = 30;
/** Time for the answer to a ping before such a call goes elsewhere, in milliseconds; many times the way to another zone and back. */
const CONFIRM_WAIT_MS = 150;

type Pending = {onResult: (result: LinkResult) => void};
/** A call that waits for a sign of life of the other end. */
type Unconfirmed = {id: number; waitUntil: number; send: () => void; onResult: (result: LinkResult) => void};

/** A report may tell the times of some routes only. */
const mergeLoad = (known: BackendLoad, told: BackendLoad): BackendLoad => {
  const others = known.routes.filter(({route}) => !told.routes.some(time => time.route === route));
  return {...told, routes: [...others, ...told.routes]};
};

/** Creates a link and keeps it connected until it is closed. */
export const createPeerLink = (options: PeerLinkOptions): PeerLink => {
  const {now, log, address} = options;
  const pending = new Map<number, Pending>();
  let unconfirmed: Unconfirmed[] = [];
  let socket: Socket | undefined;
  let writer: FrameWriter = createFrameWriter();
  let open = false;
  let closed = false;
  const liveness = createLinkLiveness(now);
  let dialAt = now();
  let dialedAt = 0;
  let redialMs = REDIAL_MIN_MS;
  let nextId = 1;
  let sent = 0;
  let member: Member | undefined;
  let state: BackendState = {kind: 'absent'};

  const refuseUnconfirmed = (calls: readonly Unconfirmed[]): void => {
    for (const {onResult} of calls) {
      onResult({
        result: {
          kind: 'refused', reason: 'peer-silent', arrived: false, retryAfterMs: 0,
        }, body: NO_BODY,
      });
    }
  };

  const sendConfirmed = (): void => {
    const calls = unconfirmed;
    unconfirmed = [];
    for (const call of calls) {
      call.send();
    }
  };

  const failPending = (): void => {
    const waiting = unconfirmed;
    unconfirmed = [];
    refuseUnconfirmed(waiting);
    const lost = [...pending.values()];
    pending.clear();
    for (const {onResult} of lost) {
      onResult(undefined);
    }
  };

  const drop = (cause: string): void => {
    const old = socket;
    if (old === undefined) {
      return;
    }

    socket = undefined;
    old.destroy();
    if (open) {
      log.write('warn', 'link-lost', {
        peer: member?.node ?? address, cause, pending: pending.size, silentMs: Math.round(liveness.silentMs()),
      });
      log.count('link_losses', cause);
    }

    open = false;
    state = {kind: 'absent'};
    dialAt = now() + redialMs;
    redialMs = Math.min(REDIAL_MAX_MS, redialMs * 2);
    failPending();
  };

  const noteLoad = (load: BackendLoad): void => {
    if (state.kind !== 'absent') {
      state.load = mergeLoad(state.load, load);
      sent = 0;
    }
  };

  const onFrame = ({message, body}: Frame): void => {
    switch (message.type) {
      case 'welcome': {
        member = message.member;
        state = message.state;
        open = true;
        redialMs = REDIAL_MIN_MS;
        log.write('info', 'link-open', {peer: member.node, backend: state.kind});
        options.onMessage(link, message);
        return;
      }

      case 'state': {
        state = message.state;
        sent = 0;
        return;
      }

      case 'result': {
        if (message.load !== undefined) {
          noteLoad(message.load);
        }

        const waiting = pending.get(message.id);
        pending.delete(message.id);
        waiting?.onResult({result: message.result, body});
        return;
      }

      case 'load': {
        noteLoad(message.load);
        return;
      }

      case 'pong': {
        noteLoad(message.load);
        options.onMessage(link, message);
        return;
      }

      case 'call':
      case 'call-edges':
      case 'cancel':
      case 'configuration':
      case 'configuration-wanted':
      case 'dependencies':
      case 'hello':
      case 'members':
      case 'ping':
      case 'route-origins': {
        options.onMessage(link, message);
      }
    }
  };

  const dial = (): void => {
    dialedAt = now();
    const dialed = connect({...splitAddress(address), noDelay: true});
    socket = dialed;
    writer = createFrameWriter();
    const reader = createFrameReader(onFrame);
    dialed.on('connect', () => {
      liveness.reset();
      dialed.write(writer.encode(options.hello()));
    });
    dialed.on('data', chunk => {
      if (socket !== dialed) {
        return;
      }

      liveness.heard();
      sendConfirmed();
      try {
        reader.push(chunk);
      } catch (error) {
        log.write('error', 'link-protocol', {peer: address, cause: (error as Error).message});
        drop('protocol');
      }
    });
    dialed.on('error', error => {
      if (socket === dialed) {
        drop((error as NodeJS.ErrnoException).code ?? 'error');
      }
    });
    dialed.on('close', () => {
      if (socket === dialed) {
        drop('closed');
      }
    });
  };

  const send = (message: Message, body?: Buffer): void => {
    socket?.write(writer.encode(message, body));
  };

  const sendPing = (): void => {
    liveness.pinged();
    send(options.ping());
  };

  const link: PeerLink = {
    address,
    member: () => member,
    state: () => state,
    isLive: () => open && liveness.isLive(),
    isOpen: () => open,
    sentSinceReport: () => sent,
    call(call, body, onResult) {
      const id = nextId;
      nextId++;
      sent++;
      liveness.used();
      const askedAt = now();
      const sendNow = (): void => {
        pending.set(id, {onResult});
        send({
          type: 'call', id, sentAt: now(), call: {...call, remainingMs: call.remainingMs - (now() - askedAt)},
        }, body);
      };

      const isConfirmed = call.idempotent || liveness.silentMs() <= CONFIRM_AGE_MS;
      if (!isConfirmed || liveness.pingDue()) {
        sendPing();
      }

      if (isConfirmed) {
        sendNow();
      } else {
        unconfirmed.push({
          id, waitUntil: now() + CONFIRM_WAIT_MS, send: sendNow, onResult,
        });
      }

      return {
        cancel() {
          unconfirmed = unconfirmed.filter(waiting => waiting.id !== id);
          if (pending.delete(id)) {
            send({type: 'cancel', id});
          }
        },
      };
    },
    send,
    tick() {
      if (closed) {
        return;
      }

      const at = now();
      if (socket === undefined) {
        if (at >= dialAt) {
          dial();
        }

        return;
      }

      if (!open) {
        if (at - dialedAt > CONNECT_TIMEOUT_MS) {
          drop('connect-timeout');
        }

        return;
      }

      const late = unconfirmed.filter(({waitUntil}) => waitUntil <= at);
      if (late.length > 0) {
        unconfirmed = unconfirmed.filter(({waitUntil}) => waitUntil > at);
        refuseUnconfirmed(late);
      }

      if (liveness.isSilent()) {
        drop('silent');
      } else if (liveness.pingDue()) {
        sendPing();
      }
    },
    resume: liveness.reset,
    close() {
      closed = true;
      drop('closed-here');
    },
  };
  return link;
};
