/** Outgoing connection to another process, over which calls are sent to the backend server on its host. */
import {connect, type Socket} from 'node:net';
import type {Buffer} from 'node:buffer';
import {splitAddress} from '../../shared/address.js';
import type {DecisionLog} from '../decision-log.js';
import {createErrorBoundary} from '../error-boundary.js';
import type {
  BackendLoad, BackendState, CallHeader, Member, Message,
} from '../message.js';
import {createOutgoingCalls, createUnsentResult, type PeerCallResult} from '../flow-control/outgoing-calls.js';
import {
  createFrameReader, createFrameWriter, writeFrame, type Frame, type FrameWriter,
} from './frame.js';
import {createLinkLiveness} from './link-liveness.js';

/** Link to a peer that reconnects until it is closed. */
export type PeerLink = {
  address: string;
  /** Member at the other end; undefined before its `welcome` message. */
  member: () => Member | undefined;
  /** State of the backend server on the peer's host; `absent` while the link is down. */
  state: () => BackendState;
  /** Whether the link is open and the peer answers its pings in time. */
  isLive: () => boolean;
  /** Whether the handshake is complete. */
  isOpen: () => boolean;
  /** Whether no call is waiting for its result. */
  isIdle: () => boolean;
  /** Time at which the link opened or was lost, or at which the first attempt to open it began, in milliseconds of the clock. */
  changedAt: () => number;
  /** Time since the peer last reported the demand by workspace, in milliseconds. */
  demandAgeMs: () => number;
  /** Calls sent since the peer last reported its load. */
  sentSinceReport: () => number;
  /** Sends a call. `onResult` is called once, unless the call is cancelled. */
  call: (call: CallHeader, body: Buffer, onResult: (result: PeerCallResult) => void) => {cancel: () => void};
  send: (message: Message, body?: Buffer) => void;
  /** Connects, reconnects and sends pings when due, and enforces timeouts; called periodically. */
  tick: () => void;
  /** Restarts the liveness timers; called after this process was suspended, when data that arrived meanwhile has not been read yet. */
  resetLiveness: () => void;
  close: () => void;
};

/** Options of a link. `createHello` and `createPing` build the messages that carry the state of this process. */
export type PeerLinkOptions = {
  address: string;
  now: () => number;
  log: DecisionLog;
  /** Number of links of this process; with many, idle ones are pinged less often. @default 1 */
  linkCount?: () => number;
  createHello: () => Message;
  createPing: () => Message;
  /** Called with each message that the link does not handle itself, and with `welcome` and `pong` messages. */
  onMessage: (link: PeerLink, message: Message, body: Buffer) => void;
};

const CONNECT_TIMEOUT_MS = 700;
const RECONNECT_DELAY_MIN_MS = 100;
/** Longest delay between two connection attempts, in milliseconds; a restarted process is reached within this time. */
const RECONNECT_DELAY_MAX_MS = 1000;

/** Age of the last received data up to which a non-idempotent call is sent at once, in milliseconds. An older contact is checked first, so that a broken connection is noticed before a call is lost on it. */
const RECENT_CONTACT_MS = 30;
/** Time that a held call waits for data from the peer before it is refused and can go elsewhere, in milliseconds; many times the round trip to another zone. */
const LIVENESS_CHECK_TIMEOUT_MS = 150;

/** Non-idempotent call that is held until data arrives from the peer. */
type HeldCall = {id: number; expiresAt: number; send: () => void; onResult: (result: PeerCallResult) => void};

/** Merges a load report, which may lack the service times of some routes and the demand by workspace, into the known load. */
const mergeLoad = (known: BackendLoad, reported: BackendLoad): BackendLoad => {
  const unreported = known.routes.filter(({route}) => !reported.routes.some(time => time.route === route));
  const workspaces = reported.workspaces ?? known.workspaces;
  return {...reported, routes: [...unreported, ...reported.routes], ...(workspaces === undefined ? {} : {workspaces})};
};

/** Creates a link; `tick` opens its connection and keeps it open until `close`. */
export const createPeerLink = (options: PeerLinkOptions): PeerLink => {
  const {now, log, address} = options;
  const boundary = createErrorBoundary(log, 'peer-call');
  let heldCalls: HeldCall[] = [];
  let socket: Socket | undefined;
  let writer: FrameWriter = createFrameWriter();
  let open = false;
  let changedAt = now();
  let closed = false;
  const liveness = createLinkLiveness(now, options.linkCount);
  let reconnectAt = now();
  let connectStartedAt = 0;
  let reconnectDelayMs = RECONNECT_DELAY_MIN_MS;
  let nextId = 1;
  let sentSinceReport = 0;
  let demandReportedAt = Number.NEGATIVE_INFINITY;
  let member: Member | undefined;
  let state: BackendState = {kind: 'absent'};
  /** Whether the peer grants long bodies; processes of earlier versions take them with the call. */
  let grantsBodies = false;

  const refuseHeldCalls = (calls: readonly HeldCall[]): void => {
    for (const {onResult} of calls) {
      onResult(createUnsentResult());
    }
  };

  const sendHeldCalls = (): void => {
    const calls = heldCalls;
    heldCalls = [];
    for (const call of calls) {
      call.send();
    }
  };

  const failAllCalls = (): void => {
    const held = heldCalls;
    heldCalls = [];
    refuseHeldCalls(held);
    calls.failAll();
  };

  const disconnect = (cause: string): void => {
    const previous = socket;
    if (previous === undefined) {
      return;
    }

    socket = undefined;
    previous.destroy();
    if (open) {
      log.write('warn', 'link-lost', {
        peer: member?.node ?? address, cause, pending: calls.count(), silentMs: Math.round(liveness.msSinceReceived()),
      });
      log.count('link_losses', cause);
      changedAt = now();
    }

    open = false;
    grantsBodies = false;
    state = {kind: 'absent'};
    reconnectAt = now() + reconnectDelayMs;
    reconnectDelayMs = Math.min(RECONNECT_DELAY_MAX_MS, reconnectDelayMs * 2);
    failAllCalls();
  };

  const recordDemand = (load: BackendLoad | undefined): void => {
    demandReportedAt = load?.workspaces === undefined ? demandReportedAt : now();
  };

  const updateLoad = (load: BackendLoad): void => {
    recordDemand(load);
    if (state.kind !== 'absent') {
      state.load = mergeLoad(state.load, load);
      sentSinceReport = 0;
    }
  };

  const setState = (reported: BackendState): void => {
    state = reported;
    recordDemand(reported.kind === 'absent' ? undefined : reported.load);
  };

  const onFrame = ({message, body}: Frame): void => {
    switch (message.type) {
      case 'welcome': {
        member = message.member;
        setState(message.state);
        grantsBodies = message.capabilities?.includes('body-grants') ?? false;
        open = true;
        changedAt = now();
        reconnectDelayMs = RECONNECT_DELAY_MIN_MS;
        log.write('info', 'link-open', {peer: member.node, backend: state.kind});
        options.onMessage(link, message, body);
        return;
      }

      case 'state': {
        setState(message.state);
        sentSinceReport = 0;
        options.onMessage(link, message, body);
        return;
      }

      case 'result': {
        if (message.load !== undefined) {
          updateLoad(message.load);
        }

        calls.receiveResult(message.id, message.result, body);
        return;
      }

      case 'grant': {
        calls.sendBody(message.id);
        return;
      }

      case 'load': {
        updateLoad(message.load);
        return;
      }

      case 'pong': {
        updateLoad(message.load);
        options.onMessage(link, message, body);
        return;
      }

      case 'body':
      case 'call':
      case 'cancel':
      case 'configuration':
      case 'configuration-wanted':
      case 'crashes':
      case 'hello':
      case 'known':
      case 'learnt':
      case 'members':
      case 'members-wanted':
      case 'permits':
      case 'permits-wanted':
      case 'ping': {
        options.onMessage(link, message, body);
      }
    }
  };

  const openConnection = (): void => {
    connectStartedAt = now();
    const connection = connect({...splitAddress(address), noDelay: true});
    socket = connection;
    writer = createFrameWriter();
    const reader = createFrameReader(onFrame);
    connection.on('connect', () => {
      liveness.reset();
      connection.write(writer.encode(options.createHello()));
    });
    connection.on('data', chunk => {
      if (socket !== connection) {
        return;
      }

      liveness.recordReceived();
      sendHeldCalls();
      try {
        reader.push(chunk);
      } catch (error) {
        log.write('error', 'link-protocol', {peer: address, cause: (error as Error).message});
        disconnect('protocol');
      }
    });
    connection.on('error', error => {
      if (socket === connection) {
        disconnect((error as NodeJS.ErrnoException).code ?? 'error');
      }
    });
    connection.on('close', () => {
      if (socket === connection) {
        disconnect('closed');
      }
    });
  };

  const send = (message: Message, body?: Buffer): void => {
    if (socket !== undefined) {
      writeFrame(socket, writer, message, body);
    }
  };

  const calls = createOutgoingCalls({
    now, log, boundary, peer: () => member?.node ?? address, send,
  });

  const sendPing = (): void => {
    liveness.recordPing();
    send(options.createPing());
  };

  const link: PeerLink = {
    address,
    member: () => member,
    state: () => state,
    isLive: () => open && liveness.isLive(),
    isOpen: () => open,
    isIdle: () => calls.count() === 0 && heldCalls.length === 0,
    changedAt: () => changedAt,
    demandAgeMs: () => now() - demandReportedAt,
    sentSinceReport: () => sentSinceReport,
    call(call, body, onResult) {
      const id = nextId;
      nextId++;
      sentSinceReport++;
      liveness.recordCall();
      const requestedAt = now();
      const sendNow = (): void => {
        calls.send({
          id, call: {...call, remainingMs: call.remainingMs - (now() - requestedAt)}, body, onResult,
        }, grantsBodies);
      };

      const canSendNow = call.idempotent || liveness.msSinceReceived() <= RECENT_CONTACT_MS;
      if (!canSendNow || liveness.isPingDue()) {
        sendPing();
      }

      if (canSendNow) {
        sendNow();
      } else {
        heldCalls.push({
          id, expiresAt: now() + LIVENESS_CHECK_TIMEOUT_MS, send: sendNow, onResult,
        });
      }

      return {
        cancel() {
          heldCalls = heldCalls.filter(held => held.id !== id);
          calls.cancel(id);
        },
      };
    },
    send,
    tick() {
      if (closed) {
        return;
      }

      const time = now();
      if (socket === undefined) {
        if (time >= reconnectAt) {
          openConnection();
        }

        return;
      }

      if (!open) {
        if (time - connectStartedAt > CONNECT_TIMEOUT_MS) {
          disconnect('connect-timeout');
        }

        return;
      }

      const expired = heldCalls.filter(({expiresAt}) => expiresAt <= time);
      if (expired.length > 0) {
        heldCalls = heldCalls.filter(({expiresAt}) => expiresAt > time);
        refuseHeldCalls(expired);
      }

      if (liveness.isTimedOut()) {
        disconnect('silent');
      } else if (liveness.isPingDue()) {
        sendPing();
      }
    },
    resetLiveness: liveness.reset,
    close() {
      closed = true;
      disconnect('closed-here');
    },
  };
  return link;
};
