/** Starts and stops the child processes of a measurement, and kills those that still run when it exits. */
import {Buffer} from 'node:buffer';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

/** Handle of a started child process. */
export type ChildProcessHandle = {
  name: string;
  pid: number;
  /** Whether the process has exited. */
  hasExited: () => boolean;
  /** Waits for the first line on standard output. */
  waitForFirstLine: () => Promise<string>;
  /** Waits for the exit and returns all standard output; throws unless the exit code is 0. */
  waitForOutput: () => Promise<string>;
  sendSignal: (signal: NodeJS.Signals) => void;
  /** Sends SIGTERM, and SIGKILL after the timeout; returns whether the process exited before the timeout. */
  stop: (timeoutMs?: number) => Promise<boolean>;
  /** Processor time used so far, in milliseconds; Linux only. */
  readProcessorTimeMs: () => number;
};

/** What `ChildProcesses.start` runs. */
export type ChildProcessOptions = {
  name: string;
  /** Compiled program, relative to the build output directory, such as `load/main.js`. */
  program: string;
  argument: string;
  /** Module loaded before the program with `--import`, relative to the build output directory. */
  preload?: string;
  environment?: Record<string, string>;
  onErrorLine?: (line: string) => void;
};

/** Set of child processes that are stopped together. */
export type ChildProcesses = {
  start: (options: ChildProcessOptions) => ChildProcessHandle;
  /** Stops all running processes and removes the exit handlers; start no process afterwards. */
  stopAll: () => Promise<void>;
};

const TERMINATION_SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;
const STOP_TIMEOUT_MS = 8000;
/** Length of a clock tick, the unit of processor times in `/proc`; Linux always reports 100 ticks per second to programs. */
const CLOCK_TICK_MS = 10;
const OUTPUT_TAIL_CHARS = 2000;

const programPath = (program: string): string => fileURLToPath(new URL(`../${program}`, import.meta.url));

const readProcessorTimeMs = (pid: number): number => {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
  return (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_MS;
};

const collectOutput = (child: ChildProcess, onErrorLine?: (line: string) => void) => {
  const chunks: Buffer[] = [];
  const errors = {tail: ''};
  child.stdout!.on('data', (chunk: Buffer) => {
    chunks.push(chunk);
  });
  child.stderr!.on('data', (chunk: Buffer) => {
    errors.tail = `${errors.tail}${chunk.toString()}`.slice(-OUTPUT_TAIL_CHARS);
    onErrorLine?.(chunk.toString().trim());
  });
  return {text: () => Buffer.concat(chunks).toString(), errors};
};

const spawnChild = (options: ChildProcessOptions): ChildProcessHandle => {
  const preload = options.preload === undefined ? [] : ['--import', new URL(`../${options.preload}`, import.meta.url).href];
  const child = spawn(process.execPath, [...preload, programPath(options.program), options.argument], {
    stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...options.environment},
  });
  const output = collectOutput(child, options.onErrorLine);
  const closed = once(child, 'close');
  const hasExited = () => child.exitCode !== null || child.signalCode !== null;
  const createExitError = () => new Error(`${options.name} exited early; last output: ${output.errors.tail}${output.text().slice(-OUTPUT_TAIL_CHARS)}`);
  return {
    name: options.name,
    pid: child.pid!,
    hasExited,
    async waitForFirstLine() {
      while (!output.text().includes('\n')) {
        if (hasExited()) {
          throw createExitError();
        }

        await delay(10); // eslint-disable-line no-await-in-loop
      }

      return output.text().split('\n')[0]!;
    },
    async waitForOutput() {
      await closed;
      if (child.exitCode !== 0) {
        throw createExitError();
      }

      return output.text();
    },
    sendSignal(signal) {
      child.kill(signal);
    },
    async stop(timeoutMs = STOP_TIMEOUT_MS) {
      if (hasExited()) {
        return true;
      }

      child.kill('SIGTERM');
      await Promise.race([closed, delay(timeoutMs, undefined, {ref: false})]);
      const exitedInTime = hasExited();
      if (!exitedInTime) {
        child.kill('SIGKILL');
        await closed;
      }

      return exitedInTime;
    },
    readProcessorTimeMs: () => readProcessorTimeMs(child.pid!),
  };
};

/** Creates an empty set of child processes; those still running are killed when this process exits or is interrupted. */
export const createChildProcesses = (): ChildProcesses => {
  const children: ChildProcessHandle[] = [];
  const killAll = () => {
    for (const child of children.filter(each => !each.hasExited())) {
      child.sendSignal('SIGKILL');
    }
  };

  const onSignal = (signal: NodeJS.Signals) => {
    killAll();
    removeListeners();
    process.kill(process.pid, signal);
  };

  const removeListeners = () => {
    process.off('exit', killAll);
    for (const signal of TERMINATION_SIGNALS) {
      process.off(signal, onSignal);
    }
  };

  process.on('exit', killAll);
  for (const signal of TERMINATION_SIGNALS) {
    process.on(signal, onSignal);
  }

  return {
    start(options) {
      const child = spawnChild(options);
      children.push(child);
      return child;
    },
    async stopAll() {
      await Promise.all(children.map(async child => child.stop()));
      children.length = 0;
      removeListeners();
    },
  };
};
