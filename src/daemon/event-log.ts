/** Ring buffers of process events and rejections, which operators read with `jujubewell events` and `jujubewell explain`. */

/** Action that a process took on its own, with its cause. */
export type ProcessEvent = {
  id: number;
  /** Time in milliseconds since the Unix epoch. */
  at: number;
  kind: string;
  cause: string;
};

/** Record of a rejected call. */
export type Explanation = {
  id: string;
  /** Time in milliseconds since the Unix epoch. */
  at: number;
  host: string;
  /** Part of the process that rejected the call. */
  part: 'entry' | 'outbound' | 'inbound';
  requestId: string;
  service: string;
  requestKind: string;
  priority: number;
  group: string;
  reason: string;
  outcome: 'run' | 'not-run' | 'unknown';
  /** Admitted fraction at the time of the rejection. */
  fraction: number;
  /** What the caller can do. */
  remedy: string;
};

/** Log of the latest events and rejections. */
export type EventLog = {
  /** Records an event. */
  report: (kind: string, cause: string) => void;
  /** Records a rejection; returns the id of its explanation. */
  recordRejection: (explanation: Omit<Explanation, 'id' | 'at' | 'host'>) => string;
  /** Returns the kept events with a higher id. */
  eventsAfter: (id: number) => ProcessEvent[];
  /** Finds the explanation of a rejection; undefined when it is not kept any more. */
  findExplanation: (id: string) => Explanation | undefined;
};

/** Number of events that are kept. */
const EVENT_CAPACITY = 1000;
/** Number of explanations that are kept; each new one replaces the oldest. */
const EXPLANATION_CAPACITY = 10_000;

/** Creates an empty log. */
export const createEventLog = (options: {host: string; onEvent: (event: ProcessEvent) => void}): EventLog => {
  const events: ProcessEvent[] = [];
  const explanations = new Map<string, Explanation>();
  let lastEventId = 0;
  let lastExplanationNumber = 0;
  return {
    report(kind, cause) {
      lastEventId++;
      const event = {
        id: lastEventId, at: Date.now(), kind, cause,
      };
      events.push(event);
      if (events.length > EVENT_CAPACITY) {
        events.shift();
      }

      options.onEvent(event);
    },
    recordRejection(explanation) {
      lastExplanationNumber++;
      const id = `${options.host}-${lastExplanationNumber.toString(36)}`;
      explanations.set(id, {
        id, at: Date.now(), host: options.host, ...explanation,
      });
      if (explanations.size > EXPLANATION_CAPACITY) {
        explanations.delete(explanations.keys().next().value!);
      }

      return id;
    },
    eventsAfter: id => events.filter(event => event.id > id),
    findExplanation: id => explanations.get(id),
  };
};
