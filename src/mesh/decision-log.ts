/** Structured lines on standard output, one for each decision; bounded in rate, and never waiting for the reader. */
import process from 'node:process';

/** Severity of a line. `debug` lines are left out first. */
export type Level = 'debug' | 'info' | 'warn' | 'error';

/** Fields of a line. */
export type LogFields = Record<string, unknown>;

/** Log and counters of a process. */
export type DecisionLog = {
  write: (level: Level, event: string, fields?: LogFields) => void;
  /** Counts an event of a family under a label. */
  count: (family: string, label: string, by?: number) => void;
  counters: () => ReadonlyMap<string, ReadonlyMap<string, number>>;
};

/** Options of the log. */
export type DecisionLogOptions = {
  node: string;
  level: Level;
  /** Lines of each severity that are written in a second; the rest is counted. */
  linesPerSecond: Record<Level, number>;
  /** Time in milliseconds since the Unix epoch. */
  wallClock?: () => number;
  /** Writes a line; returns the number of bytes that the reader has not taken yet. */
  sink?: (line: string) => number;
};

/** Bytes that wait for the reader beyond which lines are dropped. */
const MAX_UNFLUSHED_BYTES = 1024 * 1024;
const SECOND_MS = 1000;
const SEVERITY: Record<Level, number> = {
  debug: 0, info: 1, warn: 2, error: 3,
};

const writeToStandardOutput = (line: string): number => {
  process.stdout.write(line);
  return process.stdout.writableLength;
};

/** Creates the log. */
export const createDecisionLog = (options: DecisionLogOptions): DecisionLog => {
  const wallClock = options.wallClock ?? Date.now;
  const sink = options.sink ?? writeToStandardOutput;
  const counters = new Map<string, Map<string, number>>();
  let secondStartedAt = 0;
  let unflushedBytes = 0;
  let droppedLines = 0;
  const linesByLevel: Record<Level, number> = {
    debug: 0, info: 0, warn: 0, error: 0,
  };

  const count = (family: string, label: string, by = 1): void => {
    const labels = counters.get(family) ?? new Map<string, number>();
    counters.set(family, labels);
    labels.set(label, (labels.get(label) ?? 0) + by);
  };

  const emit = (at: number, level: Level, event: string, fields: LogFields): void => {
    unflushedBytes = sink(`${JSON.stringify({
      time: new Date(at).toISOString(), level, node: options.node, event, ...fields,
    })}\n`);
  };

  const startNextSecond = (at: number): void => {
    secondStartedAt = at;
    for (const level of Object.keys(linesByLevel) as Level[]) {
      linesByLevel[level] = 0;
    }

    if (droppedLines > 0) {
      const lines = droppedLines;
      droppedLines = 0;
      emit(at, 'warn', 'log-lines-dropped', {lines});
    }
  };

  return {
    write(level, event, fields = {}) {
      if (SEVERITY[level] < SEVERITY[options.level]) {
        return;
      }

      const at = wallClock();
      if (Math.abs(at - secondStartedAt) >= SECOND_MS) {
        startNextSecond(at);
      }

      linesByLevel[level]++;
      if (linesByLevel[level] > options.linesPerSecond[level] || unflushedBytes > MAX_UNFLUSHED_BYTES) {
        droppedLines++;
        count('log_lines_dropped', level);
        return;
      }

      emit(at, level, event, fields);
    },
    count,
    counters: () => counters,
  };
};
