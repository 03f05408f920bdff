/** Accepts links from other processes and passes their calls on to the local backend server. */
import {createServer, type Server, type Socket} from 'node:net';
import {listenOn} from '../../shared/address.js';
import type {DecisionLog} from '../decision-log.js';
import {createErrorBoundary} from '../error-boundary.js';
import {createIncomingCalls, isIncomingCallMessage} from '../flow-control/incoming-calls.js';
import type {InboundProxy} from '../inbound/inbound-proxy.js';
import {REPORT_INTERVAL_MS} from '../fair-shares/demand-tracker.js';
import type {BackendLoad, Member, Message} from '../message.js';
import {
  createFrameReader, createFrameWriter, writeFrame, type Frame,
} from './frame.js';
import {IDLE_PING_INTERVAL_MAX_MS} from './link-liveness.js';

/** Listener for the links of other processes. */
export type PeerServer = {
  start: () => Promise<void>;
  /** Sends a message over the accepted links, for example a new state of the backend server; with `isReceiver`, only to members that it accepts. */
  broadcast: (message: Message, isReceiver?: (member: Member) => boolean) => void;
  /** Restarts the liveness timers; called after this process was suspended, when data that arrived meanwhile has not been read yet. */
  resetLiveness: () => void;
  close: () => void;
  /** Number of accepted links. */
  linkCount: () => number;
  /** Bytes that wait to be sent over the accepted links. */
  unsentBytes: () => number;
};

/** Link that another process has opened; `member` is undefined before its `hello` message. */
export type IncomingLink = {send: (message: Message, body?: Frame['body']) => void; member: () => Member | undefined};

/** Options of the server. `createWelcome` and `createPong` build the replies that carry the state of this process. */
export type PeerServerOptions = {
  address: string;
  now: () => number;
  log: DecisionLog;
  inboundProxy: InboundProxy;
  createWelcome: () => Message;
  createPong: () => Message;
  /** Called with every message except `call`, `body` and `cancel`. */
  onMessage: (link: IncomingLink, message: Message, body: Frame['body']) => void;
};

/** Number of pings whose transit times are kept; they cover several seconds. */
const TRANSIT_SAMPLES = 8;
/** Time without any data after which a link is closed, in milliseconds; the peer pings it several times meanwhile and closes a silent link sooner. */
const LINK_TIMEOUT_MS = 2.5 * IDLE_PING_INTERVAL_MAX_MS;

/** Length of the accept queue: all other processes may connect at the same moment. */
const ACCEPT_BACKLOG = 512;

/** Estimates by how much a message is delayed relative to the fastest recent one; absolute delays are unknown because the clocks of the hosts have different origins. */
export const createLatenessEstimator = (): {observe: (sentAt: number, receivedAt: number) => void; estimate: (sentAt: number, receivedAt: number) => number} => {
  const samples: number[] = [];
  return {
    observe(sentAt, receivedAt) {
      samples.push(receivedAt - sentAt);
      if (samples.length > TRANSIT_SAMPLES) {
        samples.shift();
      }
    },
    estimate: (sentAt, receivedAt) => samples.length === 0 ? 0 : Math.max(0, receivedAt - sentAt - Math.min(...samples)),
  };
};

type AcceptedLink = IncomingLink & {socket: Socket; tick: () => void; resetLiveness: () => void};

/** Creates the server; it listens after `start`. */
export const createPeerServer = (options: PeerServerOptions): PeerServer => {
  const {inboundProxy, now, log} = options;
  const boundary = createErrorBoundary(log, 'peer-call');
  const links = new Set<AcceptedLink>();
  let acceptedCount = 0;

  const acceptLink = (socket: Socket): void => {
    acceptedCount++;
    const latenessEstimator = createLatenessEstimator();
    let receivedAt = now();
    let member: Member | undefined;
    const writer = createFrameWriter();
    const send = (message: Message, body?: Frame['body']): void => {
      if (socket.destroyed) {
        return;
      }

      writeFrame(socket, writer, message, body);
    };

    /** Time at which the peer was last sent the demand by workspace. */
    let demandSentAt = Number.NEGATIVE_INFINITY;
    /** Load that accompanies the result of a call; it is sent with each one, so the demand by workspace is left out while the last one is recent. */
    const resultLoad = (route: string): BackendLoad => {
      const load = inboundProxy.load(route);
      const workspaces = now() - demandSentAt < REPORT_INTERVAL_MS ? undefined : inboundProxy.workspaceDemand();
      if (workspaces === undefined) {
        return load;
      }

      demandSentAt = now();
      return {...load, workspaces};
    };

    const link: AcceptedLink = {
      socket,
      send(message, body) {
        if (message.type === 'load') {
          demandSentAt = now();
        }

        send(message, body);
      },
      member: () => member,
      tick() {
        calls.tick();
        if (now() - receivedAt > LINK_TIMEOUT_MS) {
          socket.destroy();
        }
      },
      resetLiveness() {
        receivedAt = now();
      },
    };

    const calls = createIncomingCalls({
      now,
      log,
      boundary,
      inboundProxy,
      keyPrefix: `${acceptedCount}:`,
      lateMs: sentAt => latenessEstimator.estimate(sentAt, now()),
      dropUnwanted() {
        reader.dropUnwanted();
      },
      sendGrant(id) {
        send({type: 'grant', id});
      },
      sendResult({id, call}, result, body) {
        send({
          type: 'result', id, result, load: resultLoad(call.route),
        }, body);
      },
      sendFailure({id}) {
        send({
          type: 'result', id, result: {kind: 'lost', cause: 'the process on the host of the backend server failed to handle the call'}, load: undefined,
        });
      },
    });

    const onFrame = ({message, body}: Frame): void => {
      if (isIncomingCallMessage(message)) {
        calls.receive(message, body);
        return;
      }

      switch (message.type) {
        case 'hello': {
          member = message.member;
          if (message.record !== undefined) {
            inboundProxy.recall(message.record, member.node);
          }

          send(options.createWelcome());
          options.onMessage(link, message, body);
          return;
        }

        case 'ping': {
          latenessEstimator.observe(message.sentAt, now());
          send(options.createPong());
          options.onMessage(link, message, body);
          return;
        }

        case 'configuration':
        case 'configuration-wanted':
        case 'crashes':
        case 'grant':
        case 'known':
        case 'learnt':
        case 'load':
        case 'members':
        case 'members-wanted':
        case 'permits':
        case 'permits-wanted':
        case 'pong':
        case 'result':
        case 'state':
        case 'welcome': {
          options.onMessage(link, message, body);
        }
      }
    };

    const reader = createFrameReader(onFrame, calls.acceptBody);
    socket.setNoDelay(true);
    socket.on('data', chunk => {
      receivedAt = now();
      try {
        reader.push(chunk);
        calls.handleReceived();
      } catch (error) {
        log.write('error', 'link-protocol', {peer: member?.node ?? socket.remoteAddress, cause: (error as Error).message});
        socket.destroy();
      }
    });
    socket.on('error', error => {
      log.count('link_losses', (error as NodeJS.ErrnoException).code ?? 'error');
    });
    socket.on('close', () => {
      links.delete(link);
      calls.close();
    });
    links.add(link);
  };

  const server: Server = createServer({noDelay: true}, acceptLink);
  const timer = setInterval(() => {
    for (const link of links) {
      link.tick();
    }
  }, LINK_TIMEOUT_MS / 5);

  return {
    start: async () => listenOn(server, options.address, ACCEPT_BACKLOG),
    broadcast(message, isReceiver = () => true) {
      for (const link of links) {
        const member = link.member();
        if (member === undefined || isReceiver(member)) {
          link.send(message);
        }
      }
    },
    resetLiveness() {
      for (const link of links) {
        link.resetLiveness();
      }
    },
    close() {
      clearInterval(timer);
      server.close();
      for (const {socket} of links) {
        socket.destroy();
      }
    },
    linkCount: () => links.size,
    unsentBytes() {
      let bytes = 0;
      for (const {socket} of links) {
        bytes += socket.writableLength;
      }

      return bytes;
    },
  };
};
