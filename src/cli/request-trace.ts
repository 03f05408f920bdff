/** Collects the trace of one request from the logs of several processes. */

/** Log line about the request. */
export type TraceLine = {time: number; node: string; event: string; fields: Record<string, unknown>};

/** Log lines about one request, in order. `unreadable` counts the lines that are not log lines, such as truncated ones. */
export type RequestTrace = {lines: TraceLine[]; unreadable: number};

/** Events in the order in which they occur during a request; it applies to lines of the same millisecond and of hosts whose clocks differ. */
const EVENT_ORDER = [
  'request-refused',
  'request-sent',
  'door-refused',
  'repeat-prevented',
  'backend-lost',
  'foreign-answer-skipped',
  'answer-not-genuine',
  'unframed-answer',
  'backend-crashed',
  'request-retried',
  'caller-gone',
  'request-held-back',
  'request-ended',
];

/** Clock difference between two hosts up to which the order of events decides, in milliseconds. */
const CLOCK_SKEW_MAX_MS = 5000;

const parseLogLine = (text: string): Record<string, unknown> | undefined => {
  const start = text.indexOf('{');
  if (start === -1) {
    return undefined;
  }

  try {
    const value: unknown = JSON.parse(text.slice(start));
    return typeof value === 'object' && value !== null ? value as Record<string, unknown> : undefined;
  } catch {
    return undefined;
  }
};

const toTraceLine = ({time, node, event, level, ...fields}: Record<string, unknown>): TraceLine => ({
  time: Date.parse(String(time)), node: String(node), event: String(event), fields: {level, ...fields},
});

const eventRank = ({event}: TraceLine): number => {
  const rank = EVENT_ORDER.indexOf(event);
  return rank === -1 ? EVENT_ORDER.length : rank;
};

/** Compares lines of one process by time, and lines of different processes by event order when their clocks may differ. */
const compareLines = (a: TraceLine, b: TraceLine): number =>
  a.node === b.node || Math.abs(a.time - b.time) > CLOCK_SKEW_MAX_MS ? a.time - b.time : (eventRank(a) - eventRank(b)) || (a.time - b.time);

/** Sorts lines: each is inserted before the first one that must follow it, but behind the earlier lines of its own process. */
const sortLines = (lines: readonly TraceLine[]): TraceLine[] => {
  const ordered: TraceLine[] = [];
  for (const line of lines.toSorted((a, b) => a.time - b.time)) {
    const lastOfSameProcess = ordered.findLastIndex(other => other.node === line.node);
    const index = ordered.findIndex((other, position) => position > lastOfSameProcess && compareLines(line, other) < 0);
    ordered.splice(index === -1 ? ordered.length : index, 0, line);
  }

  return ordered;
};

type LogLine = Record<string, unknown>;

/** Reduces the line of a crash to what it says of one content. */
const selectBlamed = (line: LogLine, contents: ReadonlySet<unknown>): LogLine[] => {
  const blamed = Array.isArray(line.blamed) ? (line.blamed as LogLine[]).filter(({content}) => contents.has(content)) : [];
  return blamed.length === 0 ? [] : [{...line, blamed}];
};

/** Lines of the crashes for which a request was held back; those of later requests with the same content are left out. */
const crashLines = (logLines: readonly LogLine[], requestLines: readonly LogLine[]): LogLine[] => {
  const heldBack = requestLines.filter(({event}) => event === 'request-held-back');
  const contents = new Set(heldBack.map(({content}) => content));
  const until = Math.max(...heldBack.map(({time}) => Date.parse(String(time)))) + CLOCK_SKEW_MAX_MS;
  return logLines.filter(({event, time}) => event === 'backend-crashed' && Date.parse(String(time)) <= until).flatMap(line => selectBlamed(line, contents));
};

/** Collects the log lines about a request from the contents of log files. */
export const readTrace = (requestId: string, texts: readonly string[]): RequestTrace => {
  const parsed = texts.flatMap(text => text.split('\n')).filter(text => text.trim() !== '').map(text => parseLogLine(text));
  const logLines = parsed.filter(value => value !== undefined).filter(value => typeof value.event === 'string');
  const requestLines = logLines.filter(value => value.request === requestId);
  const lines = [...crashLines(logLines, requestLines), ...requestLines].map(value => toTraceLine(value));
  return {lines: sortLines(lines), unreadable: parsed.length - logLines.length};
};

/** Renders a trace as text, one line per event. */
export const renderTrace = ({lines, unreadable}: RequestTrace): string => {
  const rows = lines.map(({time, node, event, fields}) => {
    const details = Object.entries(fields).filter(([name]) => name !== 'request' && name !== 'level').map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
    return `${new Date(time).toISOString()}  ${node}  ${event}  ${details.join(' ')}`;
  });
  return [...rows, ...(unreadable > 0 ? [`${unreadable} unreadable lines were skipped`] : [])].join('\n');
};
