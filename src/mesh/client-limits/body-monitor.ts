/** Ends bodies that make no progress, or are not complete by the deadline of their request. */

/** Why a body is ended. */
export type BodyFault = 'stalled' | 'late';

/** Body that is being received. */
export type MonitoredBody = {
  recordProgress: () => void;
  /** Ends the monitoring. */
  end: () => void;
};

/** Monitor of all bodies that are being received. */
export type BodyMonitor = {
  begin: (options: {deadlineAt: number; onEnded: (fault: BodyFault) => void}) => MonitoredBody;
  /** Ends the bodies that are due; called periodically. */
  tick: () => void;
};

/** Options of a monitor. `progressMs` is the longest time without a byte. */
export type BodyMonitorOptions = {now: () => number; progressMs: () => number};

type Entry = {deadlineAt: number; progressAt: number; onEnded: (fault: BodyFault) => void};

/** Creates a monitor without bodies. */
export const createBodyMonitor = ({now, progressMs}: BodyMonitorOptions): BodyMonitor => {
  const entries = new Set<Entry>();
  return {
    begin({deadlineAt, onEnded}) {
      const entry: Entry = {deadlineAt, progressAt: now(), onEnded};
      entries.add(entry);
      return {
        recordProgress() {
          entry.progressAt = now();
        },
        end() {
          entries.delete(entry);
        },
      };
    },
    tick() {
      const time = now();
      for (const entry of entries) {
        if (entry.deadlineAt <= time) {
          entry.onEnded('late');
        } else if (time - entry.progressAt >= progressMs()) {
          entry.onEnded('stalled');
        }
      }
    },
  };
};
