/** The story of one request, read from the logs of several processes. */

/** A log line about the request. */
export type StoryLine = {time: number; node: string; event: string; fields: Record<string, unknown>};

/** What was found. `unreadable` counts lines that are no log lines, such as cut ones. */
export type Story = {lines: StoryLine[]; unreadable: number};

/** Events by their place in the course of a request; lines of one millisecond, and those of clocks that differ, keep this order. */
const COURSE = ['request-refused', 'request-sent', 'door-refused', 'repeat-prevented', 'backend-lost', 'foreign-answer-skipped', 'answer-not-genuine', 'unframed-answer', 'request-retried', 'caller-gone', 'request-ended'];

/** Difference of the clocks of two hosts up to which the course of the events decides, in milliseconds. */
const CLOCK_DIFFERENCE_MS = 5000;

const parseLine = (text: string): Record<string, unknown> | undefined => {
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

const toLine = ({time, node, event, level, ...fields}: Record<string, unknown>): StoryLine => ({
  time: Date.parse(String(time)), node: String(node), event: String(event), fields: {level, ...fields},
});

const placeOf = ({event}: StoryLine): number => {
  const place = COURSE.indexOf(event);
  return place === -1 ? COURSE.length : place;
};

/** Lines of one process keep their order; those of different ones follow the course of a request when their clocks may differ. */
const compare = (a: StoryLine, b: StoryLine): number =>
  a.node === b.node || Math.abs(a.time - b.time) > CLOCK_DIFFERENCE_MS ? a.time - b.time : (placeOf(a) - placeOf(b)) || (a.time - b.time);

/** Inserts each line behind the last one that it must not precede. */
const order = (lines: readonly StoryLine[]): StoryLine[] => {
  const ordered: StoryLine[] = [];
  for (const line of lines.toSorted((a, b) => a.time - b.time)) {
    const after = ordered.findLastIndex(other => other.node === line.node);
    const index = ordered.findIndex((other, position) => position > after && compare(line, other) < 0);
    ordered.splice(index === -1 ? ordered.length : index, 0, line);
  }

  return ordered;
};

/** Collects the lines about a request. */
export const readStory = (requestId: string, texts: readonly string[]): Story => {
  const parsed = texts.flatMap(text => text.split('\n')).filter(text => text.trim() !== '').map(text => parseLine(text));
  const known = parsed.filter(value => value !== undefined && typeof value.event === 'string');
  const own = known.filter(value => value!.request === requestId).map(value => toLine(value!));
  return {lines: order(own), unreadable: parsed.length - known.length};
};

/** Renders a story, one line an event. */
export const renderStory = ({lines, unreadable}: Story): string => {
  const rows = lines.map(({time, node, event, fields}) => {
    const details = Object.entries(fields).filter(([name]) => name !== 'request' && name !== 'level').map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
    return `${new Date(time).toISOString()}  ${node}  ${event}  ${details.join(' ')}`;
  });
  return [...rows, ...(unreadable > 0 ? [`${unreadable} unreadable lines were passed over`] : [])].join('\n');
};
