/** Keeps calls that are blamed for crashes from running, or from running side by side, at the backend server of this host. */
import type {CrashGuard} from './crash-guard.js';
import type {InboundCall} from './inbound-call.js';

/** Isolation of suspected calls. */
export type SuspectIsolation = {
  /** Whether a call may be dispatched now. */
  mayRun: (inbound: InboundCall) => boolean;
  recordStart: (inbound: InboundCall) => void;
  recordEnd: (inbound: InboundCall) => void;
};

/** Creates the isolation without running calls. */
export const createSuspectIsolation = (crashGuard: Pick<CrashGuard, 'assess'>): SuspectIsolation => {
  const running = new Set<InboundCall>();

  /** Whether a call may only run while no other one like it does; it may have become so while it was running. */
  const isIsolated = ({call, body}: InboundCall): boolean => {
    const kind = crashGuard.assess(call, body)?.suspicion.kind;
    return kind !== undefined && kind !== 'suspected';
  };

  const isAlone = (): boolean => ![...running].some(inbound => isIsolated(inbound));

  return {
    mayRun({call, body}) {
      const kind = crashGuard.assess(call, body)?.suspicion.kind;
      switch (kind) {
        case undefined:
        case 'suspected': {
          return true;
        }

        case 'isolated': {
          return isAlone();
        }

        case 'blocked':
        case 'on-trial': {
          return call.isTrial && isAlone();
        }
      }
    },
    recordStart(inbound) {
      running.add(inbound);
    },
    recordEnd(inbound) {
      running.delete(inbound);
    },
  };
};
