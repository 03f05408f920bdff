/** Limits and parameters of the inbound decisions. */

/** Interval at which admitted fractions and the concurrency limit are recomputed, in milliseconds. */
export const WINDOW_MS = 100;

/** Longest window from which rates are measured, in milliseconds; a longer one means that the process was paused. */
export const WINDOW_MAX_MS = 1000;

/** Weight of the newest window in the demand estimate; the estimate recovers from a tenfold surge within one second. */
export const DEMAND_EWMA_WEIGHT = 0.4;

/** Demand below which a client group is removed, in slots. */
export const DEMAND_NEGLIGIBLE = 0.001;

/** Maximum number of client groups with their own demand estimate, over all priorities. Any others of a priority share one estimate. */
export const GROUPS_MAX = 4096;

/** Bounds of the ratio of admitted work to capacity. The excess keeps slots busy through random gaps between arrivals; the queue rejects what does not fit. */
export const OVERCOMMIT_MIN = 1.05;
export const OVERCOMMIT_MAX = 2;

/** Factors per window by which that ratio is raised while slots are idle and lowered after queue rejections. */
export const OVERCOMMIT_RAISE = 1.1;
export const OVERCOMMIT_LOWER = 0.97;

/** Slot utilisation below which throttled calls could have been admitted. */
export const UTILISATION_TARGET = 0.97;

/** Fraction of its remaining time that a call may spend in the queue: at the first hop, and as a sub-call, which occupies a slot of every service above it. */
export const QUEUE_TIME_SHARE_FIRST_HOP = 0.5;
export const QUEUE_TIME_SHARE_SUB_CALL = 0.25;

/** Fraction of the mean maximum queue time that admission fills the queue to; the rest absorbs random bursts. */
export const QUEUE_FILL_TARGET = 0.6;

/** Time in which admission corrects the queue towards its target, in milliseconds. */
export const QUEUE_CORRECTION_MS = 500;

/** Minimum fraction of the capacity that is allocated while the queue is overfull. */
export const CAPACITY_SHARE_MIN = 0.5;

/** Minimum retry-after, and width of its random window when everything is admitted, in milliseconds. */
export const RETRY_AFTER_MIN_MS = 100;
export const RETRY_AFTER_WINDOW_MS = 1000;

/** Maximum width of the random window of retry-after, in milliseconds. */
export const RETRY_AFTER_WINDOW_MAX_MS = 60_000;

/** Maximum queue length; bounds memory regardless of the service time. */
export const QUEUE_LENGTH_MAX = 4096;

/** Service time assumed for the queue bound until one has been measured, in milliseconds. */
export const SERVICE_TIME_DEFAULT_MS = 100;

/** Weight of a new sample in the moving averages of recent durations. */
export const RECENT_EWMA_WEIGHT = 0.1;

/** Ratio of remaining time to mean service time below which a queued call is rejected. Service times vary, and a call that misses its deadline wastes its slot. */
export const SERVICE_TIME_MARGIN = 1.5;

/** Time between two events that indicates a pause of the process, in milliseconds; ticks come every 20 ms. Durations that span a pause are not measured. */
export const PROCESS_PAUSE_MS = 500;

/** Time without samples after which the required service time is halved, in milliseconds. Otherwise an estimate above every deadline would reject all calls and never be corrected. */
export const SERVICE_TIME_STALE_MS = 1000;

/** Weights with which a baseline follows a lower and a higher recent average. It rises slowly, so that it does not adapt to an overload. */
export const BASELINE_FALL = 0.02;
export const BASELINE_RISE = 0.002;

/** Maximum number of request kinds for which service times and dependencies are tracked. */
export const REQUEST_KINDS_MAX = 1024;

/** Ratio of service time to its baseline above which latency counts as inflated. */
export const INFLATION_THRESHOLD = 2;

/** Samples per evaluation of latency. The mean of 30 exponentially distributed service times is rarely off by half; that of 5 often is. */
export const INFLATION_SAMPLES_MIN = 30;

/** Fraction of overload samples in a window that lowers the concurrency limit; single ones can also come from slow requests. */
export const OVERLOAD_SHARE_MIN = 0.05;

/** Ratio of a call's timeout to its mean service time from which a timeout counts as overload. */
export const TIMEOUT_OVERLOAD_RATIO = 4;

/** Fraction of its upper bound below which latency alone does not lower the concurrency limit, because slow responses also have other causes. */
export const LIMIT_FLOOR_LATENCY = 0.5;

/** Relative cut of the concurrency limit on latency alone, and the largest cut in one window. */
export const LIMIT_CUT_LATENCY = 0.1;
export const LIMIT_CUT_MAX = 0.5;

/** First increment of the concurrency limit after a cut, in calls; it doubles with every window without overload. */
export const LIMIT_STEP = 0.5;

/** Fraction of the slots that calls using one slow dependency may occupy. */
export const DEPENDENCY_SLOT_SHARE = 0.5;

/** Ratio of sub-call latency to its baseline above which a dependency is slow. */
export const DEPENDENCY_SLOW_RATIO = 2;

/** Lowest baseline that sub-call latency is compared with, in milliseconds. */
export const DEPENDENCY_SLOW_MIN_MS = 10;

/** Maximum number of dependencies that are tracked. */
export const DEPENDENCIES_MAX = 4096;

/** Fraction of a request kind's calls that must use a dependency for the kind to be blocked by it. */
export const DEPENDENCY_USAGE_MIN = 0.3;

/** Weight of a new call in the fraction of calls that use a dependency. */
export const DEPENDENCY_USAGE_EWMA_WEIGHT = 0.1;

/** Time for which a running call without a caller is kept, in case its caller repeats it on a new connection, in milliseconds. */
export const ABANDONED_GRACE_MS = 100;

/** Maximum number of ticket records. At 640 bytes each with the longest ticket, they and the cancelled tickets stay below 40 MB. */
export const LEDGER_RECORDS_MAX = 50_000;

/** Maximum number of cancelled tickets, at 38 bytes each, or 56 just after a set has grown. */
export const CANCELLED_TICKETS_MAX = 120_000;

/** Maximum size of one stored response, in bytes. */
export const RESPONSE_BYTES_MAX = 65_536;

/** Maximum size of all stored responses, in bytes. */
export const RESPONSES_BYTES_MAX = 33_554_432;
