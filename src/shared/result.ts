/** Outcome of an operation that reports its failure as a value. */
export type Result<Value, Failure> =
  | {kind: 'ok'; value: Value}
  | {kind: 'error'; error: Failure};

/** Wraps a value. */
export const ok = <Value>(value: Value) => ({kind: 'ok', value}) as const;

/** Wraps a failure. */
export const fail = <Failure>(error: Failure) => ({kind: 'error', error}) as const;
