/** Accepts links of other processes and passes their calls to the door. */
import {createServer, type Server, type Socket} from 'node:net';
import {listenOn} from '../shared/address.js';
import type {DecisionLog} from './decision-log.js';
import type {Door} from './door.js';
import {createFrameReader, createFrameWriter, type Frame} from './frame.js';
import type {Member, Message} from './message.js';

/** Server of the peer listener. */
export type PeerServer = {
  start: () => Promise<void>;
  /** Tells all callers, such as a new state of the backend server. */
  publish: (message: Message) => void;
  /** This process stood still: what the callers have sent meanwhile has not been read yet. */
  resume: () => void;
  close: () => void;
  links: () => number;
};

/** A link from another process. */
export type IncomingLink = {send: (message: Message) => void; member: () => Member | undefined};

/** Options of the server. */
export type PeerServerOptions = {
  address: string;
  now: () => number;
  log: DecisionLog;
  door: Door;
  welcome: () => Message;
  pong: () => Message;
  /** Any message that is not about a call. */
  onMessage: (link: IncomingLink, message: Message) => void;
};

/** Pings whose transit times are kept; together they cover several seconds. */
const TRANSIT_SAMPLES = 8;
/** Time without any byte after which a link is given up, in milliseconds; its caller pings every second at least, and gives up sooner itself. */
const SILENT_MS = 3500;

/** Connections that may wait to be accepted: all other processes dial at the same moment. */
const BACKLOG = 512;

/** Estimates by how much a message is later than the fastest recent ones; the two clocks have no common start. */
export const createTransitEstimate = (): {observe: (sentAt: number, receivedAt: number) => void; lateness: (sentAt: number, receivedAt: number) => number} => {
  const samples: number[] = [];
  return {
    observe(sentAt, receivedAt) {
      samples.push(receivedAt - sentAt);
      if (samples.length > TRANSIT_SAMPLES) {
        samples.shift();
      }
    },
    lateness: (sentAt, receivedAt) => samples.length === 0 ? 0 : Math.max(0, receivedAt - sentAt - Math.min(...samples)),
  };
};

type Accepted = IncomingLink & {socket: Socket; tick: () => void; resume: () => void};

/** Creates the server. */
export const createPeerServer = (options: PeerServerOptions): PeerServer => {
  const {door, now, log} = options;
  const links = new Set<Accepted>();
  let linkCount = 0;

  const accept = (socket: Socket): void => {
    linkCount++;
    const prefix = `${linkCount}:`;
    const transit = createTransitEstimate();
    const keys = new Set<string>();
    let heardAt = now();
    let member: Member | undefined;
    const writer = createFrameWriter();
    const send = (message: Message, body?: Frame['body']): void => {
      if (!socket.destroyed) {
        socket.write(writer.encode(message, body));
      }
    };

    const link: Accepted = {
      socket,
      send,
      member: () => member,
      tick() {
        if (now() - heardAt > SILENT_MS) {
          socket.destroy();
        }
      },
      resume() {
        heardAt = now();
      },
    };

    const takeCall = ({message, body}: {message: Extract<Message, {type: 'call'}>; body: Frame['body']}): void => {
      const key = `${prefix}${message.id}`;
      const lateMs = transit.lateness(message.sentAt, now());
      keys.add(key);
      door.offer({
        key,
        call: {...message.call, remainingMs: message.call.remainingMs - lateMs},
        body,
        onResult(result, answer) {
          keys.delete(key);
          send({
            type: 'result', id: message.id, result, load: door.load(message.call.route),
          }, answer);
        },
      });
    };

    /** Calls of one chunk are offered after all of it has been read, so that cancellations right behind them count. */
    let arrivals: Array<Parameters<typeof takeCall>[0]> = [];
    const flush = (): void => {
      const taken = arrivals;
      arrivals = [];
      for (const arrival of taken) {
        takeCall(arrival);
      }
    };

    const cancel = (id: number): void => {
      const index = arrivals.findIndex(({message}) => message.id === id);
      if (index === -1) {
        keys.delete(`${prefix}${id}`);
        door.cancel(`${prefix}${id}`);
      } else {
        arrivals.splice(index, 1);
      }
    };

    const onFrame = ({message, body}: Frame): void => {
      switch (message.type) {
        case 'hello': {
          member = message.member;
          send(options.welcome());
          options.onMessage(link, message);
          return;
        }

        case 'call': {
          arrivals.push({message, body});
          return;
        }

        case 'cancel': {
          cancel(message.id);
          return;
        }

        case 'ping': {
          transit.observe(message.sentAt, now());
          send(options.pong());
          options.onMessage(link, message);
          return;
        }

        case 'call-edges':
        case 'dependencies':
        case 'load':
        case 'route-origins':
        case 'configuration':
        case 'configuration-wanted':
        case 'members':
        case 'pong':
        case 'result':
        case 'state':
        case 'welcome': {
          options.onMessage(link, message);
        }
      }
    };

    const reader = createFrameReader(onFrame);
    socket.setNoDelay(true);
    socket.on('data', chunk => {
      heardAt = now();
      try {
        reader.push(chunk);
      } catch (error) {
        log.write('error', 'link-protocol', {peer: member?.node ?? socket.remoteAddress, cause: (error as Error).message});
        socket.destroy();
      }

      flush();
    });
    socket.on('error', error => {
      log.count('link_losses', (error as NodeJS.ErrnoException).code ?? 'error');
    });
    socket.on('close', () => {
      links.delete(link);
      for (const key of keys) {
        door.cancel(key);
      }
    });
    links.add(link);
  };

  const server: Server = createServer({noDelay: true}, accept);
  const timer = setInterval(() => {
    for (const link of links) {
      link.tick();
    }
  }, SILENT_MS / 5);

  return {
    start: async () => listenOn(server, options.address, BACKLOG),
    publish(message) {
      for (const link of links) {
        link.send(message);
      }
    },
    resume() {
      for (const link of links) {
        link.resume();
      }
    },
    close() {
      clearInterval(timer);
      server.close();
      for (const {socket} of links) {
        socket.destroy();
      }
    },
    links: () => links.size,
  };
};
