/** Tells a crash of the backend server from the loss of single connections: after a crash, it accepts no new ones. */
import {connect} from 'node:net';
import {splitAddress} from '../../shared/address.js';
import type {Announcement} from './announcement.js';

/** A call whose connection was lost while the backend server ran it. */
export type LostCall<Call> = {
  call: Call;
  /** Backend server that ran it. */
  backend: Announcement;
  /** Passes the loss on to the caller. */
  release: () => void;
};

/** Detects crashes of the backend server of this host. */
export type CrashDetector<Call> = {
  /** Records a lost call; it is released once it is known whether the backend server has crashed. */
  recordLoss: (loss: LostCall<Call>) => void;
};

/** Whether a backend server accepts connections; `unknown` without an answer in time. */
export type ProbeResult = 'accepts' | 'refuses' | 'unknown';

/** Options of the detector. */
export type CrashDetectorOptions<Call> = {
  /** Called once for each crash, with all calls that were lost by it, before they are released. */
  onCrash: (backend: Announcement, calls: readonly Call[]) => void;
  /** @default opens a connection and closes it */
  probe?: (address: string) => Promise<ProbeResult>;
  sleep?: (milliseconds: number) => Promise<void>;
};

/** Time in which a backend server on the same host accepts a connection, in milliseconds. */
const PROBE_TIMEOUT_MS = 100;
/** Time in which the other connections of a crashed backend server are found to be closed, in milliseconds. */
const COLLECT_MS = 10;

const probeByConnecting = async (address: string): Promise<ProbeResult> => new Promise(resolve => {
  const socket = connect({...splitAddress(address), timeout: PROBE_TIMEOUT_MS});
  const end = (result: ProbeResult): void => {
    socket.destroy();
    resolve(result);
  };

  socket.on('connect', () => {
    end('accepts');
  });
  socket.on('timeout', () => {
    end('unknown');
  });
  socket.on('error', error => {
    end((error as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'refuses' : 'unknown');
  });
});

const defaultSleep = async (milliseconds: number): Promise<void> => new Promise(resolve => {
  setTimeout(resolve, milliseconds);
});

/** Creates a detector without recorded losses. */
export const createCrashDetector = <Call>(options: CrashDetectorOptions<Call>): CrashDetector<Call> => {
  const {probe = probeByConnecting, sleep = defaultSleep} = options;
  /** Losses that wait for the probe, by the start of their backend server. */
  const waiting = new Map<number, Array<LostCall<Call>>>();

  const settle = async (backend: Announcement): Promise<void> => {
    const result = await probe(backend.address);
    if (result === 'refuses') {
      await sleep(COLLECT_MS);
    }

    const losses = waiting.get(backend.startedAt) ?? [];
    waiting.delete(backend.startedAt);
    if (result === 'refuses') {
      options.onCrash(backend, losses.map(({call}) => call));
    }

    for (const {release} of losses) {
      release();
    }
  };

  return {
    recordLoss(loss) {
      const losses = waiting.get(loss.backend.startedAt);
      if (losses === undefined) {
        waiting.set(loss.backend.startedAt, [loss]);
        void settle(loss.backend);
      } else {
        losses.push(loss);
      }
    },
  };
};
