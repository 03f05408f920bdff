/** Durations of permits and loans, in milliseconds, which the proof in `docs/design/rate-limits.md` depends on. */

/** Time for which a permit may be used after the poll that asked for it was sent. */
export const PERMIT_LIFETIME_MS = 300;
/** Time for which a lent fraction counts. */
export const LOAN_MS = 1200;
/** Interval of polls while limited workspaces have recent requests. */
export const POLL_MS = 200;
/** Interval of polls without recent requests; two of them fit into a loan. */
export const IDLE_POLL_MS = 500;
/** Shortest interval between two polls that waiting requests trigger. */
export const POLL_BATCH_MS = 10;
/** Longest time for which a request waits for a permit. */
export const WAIT_MAX_MS = 150;
/** Time after which the entry of a new process counts as known to all connected processes. */
export const LISTING_MS = 2500;
/** Longest `Retry-After`, the length of the window of a limit. */
export const RETRY_AFTER_MAX_MS = 5000;
export const SECOND_MS = 1000;
