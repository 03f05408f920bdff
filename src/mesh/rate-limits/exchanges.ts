/** Numbers the polls of this process, and accepts one answer to each. */

/** Polls that were not answered yet. */
export type Exchanges = {
  /** Records a poll that is sent now, and returns its number. */
  begin: (now: number, to: string) => number;
  /** Time at which an answered poll was sent; undefined for an answer that arrives again or too late, or comes from another process. */
  end: (exchange: number, from: string) => number | undefined;
  /** Whether a process has left a poll unanswered for longer than a time. */
  isSilent: (node: string, now: number, milliseconds: number) => boolean;
  /** Forgets all polls, so that no answer to them counts. */
  reset: () => void;
};

/** Time after which permits that a poll asked for are no longer expected, in milliseconds. */
export const ANSWER_MS = 100;
/** Unanswered polls that are remembered. */
const OPEN_MAX = 256;

/** Creates the numbering. `first` is larger than the numbers of earlier starts of this process. */
export const createExchanges = (first: number): Exchanges => {
  const open = new Map<number, {to: string; sentAt: number}>();
  let next = first;
  return {
    begin(now, to) {
      const exchange = next;
      next++;
      open.set(exchange, {to, sentAt: now});
      if (open.size > OPEN_MAX) {
        open.delete(open.keys().next().value!);
      }

      return exchange;
    },
    end(exchange, from) {
      const entry = open.get(exchange);
      if (entry?.to !== from) {
        return undefined;
      }

      // Messages of a connection keep their order, so earlier polls that are still open get no answer.
      for (const [number, {to}] of open) {
        if (to === from && number <= exchange) {
          open.delete(number);
        }
      }

      return entry.sentAt;
    },
    isSilent: (node, now, milliseconds) => [...open.values()].some(({to, sentAt}) => to === node && now - sentAt > milliseconds),
    reset() {
      open.clear();
    },
  };
};
