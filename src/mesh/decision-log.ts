/** Structured log of decisions, as JSON lines on standard output. It is rate limited and never blocks on a slow reader. */
import process from 'node:process';

/** Severity of a line, in ascending order. */
export type Level = 'debug' | 'info' | 'warn' | 'error';

/** Additional fields of a line. */
export type LogFields = Record<string, unknown>;

/** Log and event counters of a process. */
export type DecisionLog = {
  write: (level: Level, event: string, fields?: LogFields) => void;
  /** Increments the counter of a label within a family. */
  count: (family: string, label: string, by?: number) => void;
  /** Counters by family, then by label. */
  counters: () => ReadonlyMap<string, ReadonlyMap<string, number>>;
};

/** Options of the log. */
export type DecisionLogOptions = {
  node: string;
  level: Level;
  /** Maximum number of lines per second for each severity; further lines are dropped and counted. */
  linesPerSecond: Record<Level, number>;
  /** Time in milliseconds since the Unix epoch. */
  wallClock?: () => number;
  /** Writes a line and returns the number of bytes that are still buffered. */
  sink?: (line: string) => number;
};

/** Number of buffered bytes above which lines are dropped. */
const MAX_UNFLUSHED_BYTES = 1024 * 1024;
const SECOND_MS = 1000;
const SEVERITY: Record<Level, number> = {
  debug: 0, info: 1, warn: 2, error: 3,
};

const writeToStandardOutput = (line: string): number => {
  process.stdout.write(line);
  return process.stdout.writableLength;
};

/** Creates a decision log. */
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
