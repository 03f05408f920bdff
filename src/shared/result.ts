/** Outcome of an operation that returns its error instead of throwing it. */
export type Result<Value, Failure> =
  | {kind: 'ok'; value: Value}
  | {kind: 'error'; error: Failure};

/** Creates the result of a successful operation. */
export const ok = <Value>(value: Value) => ({kind: 'ok', value}) as const;

/** Creates the result of a failed operation. */
export const fail = <Failure>(error: Failure) => ({kind: 'error', error}) as const;
