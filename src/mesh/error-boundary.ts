/** Keeps an unexpected error within the request or call that it belongs to, so that it ends neither the process nor a link with its other calls. */
import type {DecisionLog} from './decision-log.js';

/** What an unexpected error ends. */
export type ErrorScope = 'request' | 'peer-call';

/** Boundary for unexpected errors, which are defects of this program. */
export type ErrorBoundary = {
  /** Runs a part of a request or call; an error in it is reported, and `onError` ends the request or call. */
  run: (requestId: string | undefined, work: () => void, onError: () => void) => void;
  /** Logs an error with its stack and counts it. */
  report: (requestId: string | undefined, error: unknown) => void;
};

/** Creates an error boundary that reports to a log. */
export const createErrorBoundary = (log: DecisionLog, scope: ErrorScope): ErrorBoundary => {
  const report = (requestId: string | undefined, error: unknown): void => {
    log.count('internal_errors', scope);
    log.write('error', 'internal-error', {request: requestId, scope, stack: error instanceof Error ? error.stack : String(error)});
  };

  return {
    run(requestId, work, onError) {
      try {
        work();
      } catch (error) {
        report(requestId, error);
        onError();
      }
    },
    report,
  };
};
