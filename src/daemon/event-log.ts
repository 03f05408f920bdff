/** Bounded rings of explained events and rejections, which operators read with `jujubewell events` and `explain`. */

/** Automatic step of a process, with its cause. */
export type ProcessEvent = {
  id: number;
  /** Time in milliseconds since the Unix epoch. */
  at: number;
  kind: string;
  cause: string;
};

/** Why a call was rejected. */
export type Explanation = {
  id: string;
  /** Time in milliseconds since the Unix epoch. */
  at: number;
  host: string;
  /** Part that decided: `entry`, `outbound` or `inbound`. */
  part: 'entry' | 'outbound' | 'inbound';
  requestId: string;
  service: string;
  requestKind: string;
  priority: number;
  group: string;
  reason: string;
  outcome: 'run' | 'not-run' | 'unknown';
  /** Admitted fraction at that moment. */
  fraction: number;
  /** What the caller can do. */
  remedy: string;
};

/** Ring of events and explanations. */
export type EventLog = {
  report: (kind: string, cause: string) => void;
  recordRejection: (explanation: Omit<Explanation, 'id' | 'at' | 'host'>) => string;
  eventsAfter: (id: number) => ProcessEvent[];
  findExplanation: (id: string) => Explanation | undefined;
};

/** Events that are kept. */
const EVENT_CAPACITY = 1000;
/** Explanations that are kept; the oldest makes room. */
const EXPLANATION_CAPACITY = 10_000;

/** Creates empty rings. */
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
