/** Limits and rates of the inbound decision. */

/** Interval between two computations of admitted fractions and of the concurrency limit, in milliseconds. */
export const WINDOW_MS = 100;

/** Longest window that still measures a rate, in milliseconds. A longer one means that the process was paused. */
export const WINDOW_MAX_MS = 1000;

/** Weight of the newest window in the demand estimate; a tenfold demand that ends is forgotten within a second. */
export const DEMAND_SMOOTHING = 0.4;

/** Demand below which a client group is forgotten, in slots. */
export const DEMAND_NEGLIGIBLE = 0.001;

/** Client groups with an own demand estimate, over all priorities. Further ones of a priority share one estimate. */
export const GROUPS_MAX = 4096;

/** Lowest and highest ratio of admitted work to capacity. The excess keeps slots busy through random gaps; the queue sheds it. */
export const OVERCOMMIT_MIN = 1.05;
export const OVERCOMMIT_MAX = 2;

/** Factors by which the ratio of admitted work to capacity follows idle slots and queue rejections, per window. */
export const OVERCOMMIT_RAISE = 1.1;
export const OVERCOMMIT_LOWER = 0.97;

/** Share of busy slots below which thinned work could have been admitted. */
export const UTILISATION_TARGET = 0.97;

/** Part of the remaining time that a call may wait at the first hop, and further down, where it holds a slot of each caller above. */
export const QUEUE_SHARE_FIRST_HOP = 0.5;
export const QUEUE_SHARE_SUB_CALL = 0.25;

/** Part of the usual longest wait that admission fills the queue to; the rest takes random bursts. */
export const QUEUE_FILL_TARGET = 0.6;

/** Time in which admission fills or empties the queue, in milliseconds. */
export const QUEUE_CORRECTION_MS = 500;

/** Least share of the capacity that is given out while the queue is overfull. */
export const CAPACITY_SHARE_MIN = 0.5;

/** Shortest retry-after, and width of its random window when everything is admitted, in milliseconds. */
export const RETRY_AFTER_MIN_MS = 100;
export const RETRY_AFTER_WINDOW_MS = 1000;

/** Widest random window of retry-after, in milliseconds. */
export const RETRY_AFTER_WINDOW_MAX_MS = 60_000;

/** Calls in the queue, which bounds its memory whatever the service time. */
export const QUEUE_LENGTH_MAX = 4096;

/** Service time that bounds the queue until one has been measured, in milliseconds. */
export const SERVICE_TIME_DEFAULT_MS = 100;

/** Weight of a new sample in a recent mean. */
export const RECENT_SMOOTHING = 0.1;

/** Ratio of a waiting call's remaining time to its usual service time below which it is rejected: service times vary, and a call that ends too late wastes its slot. */
export const SERVICE_TIME_MARGIN = 1.5;

/** Silence between two events that shows a pause of the process, in milliseconds; ticks come every 20 ms. Durations across a pause are not measured. */
export const PAUSE_MIN_MS = 500;

/** Time without samples after which the usual service time is halved, in milliseconds. Otherwise an estimate above every deadline would reject every call and never be corrected. */
export const SERVICE_TIME_STALE_MS = 1000;

/** Weights by which a base follows a lower and a higher recent mean. It rises slowly, so that an overload is not taken for normal before it ends. */
export const BASELINE_FALL = 0.02;
export const BASELINE_RISE = 0.002;

/** Request kinds with own service times. */
export const REQUEST_KINDS_MAX = 1024;

/** Ratio of service time to base service time that counts as inflated. */
export const INFLATION_THRESHOLD = 2;

/** Samples between two judgements of latency. The mean of 30 exponential service times is rarely off by half; that of 5 often is. */
export const INFLATION_SAMPLES_MIN = 30;

/** Share of overload signs in a window that lowers the concurrency limit; single ones also come from slow requests. */
export const OVERLOAD_SHARE_MIN = 0.05;

/** Ratio of a call's time limit to its usual service time from which a timeout is a sign of overload. */
export const TIMEOUT_OVERLOAD_RATIO = 4;

/** Part of its bound below which latency alone does not lower the concurrency limit, because slower work also has other causes. */
export const LIMIT_FLOOR_LATENCY = 0.5;

/** Cut of the concurrency limit on latency alone, and the largest cut in one window. */
export const LIMIT_CUT_LATENCY = 0.1;
export const LIMIT_CUT_MAX = 0.5;

/** First raise of the concurrency limit after a cut, in calls; it doubles with every window without overload. */
export const LIMIT_STEP = 0.5;

/** Part of the slots that calls waiting for one slow dependency may hold. */
export const DEPENDENCY_SLOT_SHARE = 0.5;

/** Ratio of sub-call time to its usual value from which a dependency is slow. */
export const DEPENDENCY_SLOW_RATIO = 2;

/** Shortest sub-call time that can count as slow, in milliseconds. */
export const DEPENDENCY_SLOW_MIN_MS = 10;

/** Dependencies that are watched. */
export const DEPENDENCIES_MAX = 4096;

/** Share of a request kind's calls that must use a dependency for the kind to be held back by it. */
export const DEPENDENCY_USAGE_MIN = 0.3;

/** Weight of a new call in the share of calls that use a dependency. */
export const DEPENDENCY_USAGE_SMOOTHING = 0.1;

/** Time for which a running call without a caller waits for a repeated ask before it is cancelled, in milliseconds. */
export const ABANDONED_GRACE_MS = 100;

/** Ticket records; at 640 bytes each with the longest ticket they and the cancelled tickets stay below 40 MB. */
export const LEDGER_RECORDS_MAX = 50_000;

/** Cancelled tickets, at 38 bytes each; 56 just after a set has grown. */
export const CANCELLED_TICKETS_MAX = 120_000;

/** Size of one stored response, in bytes. */
export const RESPONSE_BYTES_MAX = 65_536;

/** Size of all stored responses, in bytes. */
export const RESPONSES_BYTES_MAX = 33_554_432;
