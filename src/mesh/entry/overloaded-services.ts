/** Tells which overloaded services made a call fail. */
import type {RequestOutcome} from './forwarded-request.js';

/** Overloaded services that made a call to `service` fail: the service itself, or services that it calls directly or transitively. */
export const overloadedServices = (outcome: RequestOutcome, service: string): readonly string[] => {
  switch (outcome.kind) {
    case 'answered': {
      return outcome.lackingBelow;
    }

    case 'not-run':
    case 'unknown': {
      return outcome.reason === 'no-room' || outcome.reason === 'deadline' ? [service] : [];
    }
  }
};
