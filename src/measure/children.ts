/** Child processes of a measurement; all end with it. */
import {Buffer} from 'node:buffer';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

/** Child process. */
export type Child = {
  name: string;
  pid: number;
  /** Whether it has ended. */
  ended: () => boolean;
  /** Waits for the first line on standard output. */
  firstLine: () => Promise<string>;
  /** Waits for its end and returns all standard output; fails when it ended with an error. */
  output: () => Promise<string>;
  signal: (signal: NodeJS.Signals) => void;
  /** Asks it to end, and kills it when it has not ended in time; returns whether it ended by itself. */
  stop: (timeoutMs?: number) => Promise<boolean>;
  /** Processor time used so far, in milliseconds; Linux only. */
  cpuMs: () => number;
};

/** Options of a child process. */
export type ChildOptions = {
  name: string;
  /** Compiled program, relative to the output directory, such as `load/main.js`. */
  program: string;
  argument: string;
  /** Module loaded before the program, relative to the output directory. */
  preload?: string;
  environment?: Record<string, string>;
  onErrorLine?: (line: string) => void;
};

/** Child processes of a measurement. */
export type Children = {
  start: (options: ChildOptions) => Child;
  /** Ends all that still run; nothing can be started afterwards. */
  stopAll: () => Promise<void>;
};

const END_SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;
const STOP_TIMEOUT_MS = 8000;
/** Unit of processor times in `/proc`, fixed at 100 per second for programs on Linux. */
const CLOCK_TICK_MS = 10;
const ERROR_TAIL = 2000;

const pathOf = (program: string): string => fileURLToPath(new URL(`../${program}`, import.meta.url));

const readCpuMs = (pid: number): number => {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
  return (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_MS;
};

const collect = (child: ChildProcess, onErrorLine?: (line: string) => void) => {
  const chunks: Buffer[] = [];
  const errors = {tail: ''};
  child.stdout!.on('data', (chunk: Buffer) => {
    chunks.push(chunk);
  });
  child.stderr!.on('data', (chunk: Buffer) => {
    errors.tail = `${errors.tail}${chunk.toString()}`.slice(-ERROR_TAIL);
    onErrorLine?.(chunk.toString().trim());
  });
  return {text: () => Buffer.concat(chunks).toString(), errors};
};

const startChild = (options: ChildOptions): Child => {
  const preload = options.preload === undefined ? [] : ['--import', new URL(`../${options.preload}`, import.meta.url).href];
  const child = spawn(process.execPath, [...preload, pathOf(options.program), options.argument], {
    stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...options.environment},
  });
  const collected = collect(child, options.onErrorLine);
  const exited = once(child, 'close');
  const ended = () => child.exitCode !== null || child.signalCode !== null;
  const failure = () => new Error(`${options.name} ended early; the end of its error output: ${collected.errors.tail}${collected.text().slice(-ERROR_TAIL)}`);
  return {
    name: options.name,
    pid: child.pid!,
    ended,
    async firstLine() {
      while (!collected.text().includes('\n')) {
        if (ended()) {
          throw failure();
        }

        await delay(10); // eslint-disable-line no-await-in-loop
      }

      return collected.text().split('\n')[0]!;
    },
    async output() {
      await exited;
      if (child.exitCode !== 0) {
        throw failure();
      }

      return collected.text();
    },
    signal(signal) {
      child.kill(signal);
    },
    async stop(timeoutMs = STOP_TIMEOUT_MS) {
      if (ended()) {
        return true;
      }

      child.kill('SIGTERM');
      await Promise.race([exited, delay(timeoutMs, undefined, {ref: false})]);
      const byItself = ended();
      if (!byItself) {
        child.kill('SIGKILL');
        await exited;
      }

      return byItself;
    },
    cpuMs: () => readCpuMs(child.pid!),
  };
};

/** Creates an empty set of child processes; an exit or an interrupt of this process kills what still runs. */
export const createChildren = (): Children => {
  const children: Child[] = [];
  const killAll = () => {
    for (const child of children.filter(each => !each.ended())) {
      child.signal('SIGKILL');
    }
  };

  const onSignal = (signal: NodeJS.Signals) => {
    killAll();
    forget();
    process.kill(process.pid, signal);
  };

  const forget = () => {
    process.off('exit', killAll);
    for (const signal of END_SIGNALS) {
      process.off(signal, onSignal);
    }
  };

  process.on('exit', killAll);
  for (const signal of END_SIGNALS) {
    process.on(signal, onSignal);
  }

  return {
    start(options) {
      const child = startChild(options);
      children.push(child);
      return child;
    },
    async stopAll() {
      await Promise.all(children.map(async child => child.stop()));
      children.length = 0;
      forget();
    },
  };
};
