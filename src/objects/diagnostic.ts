/** Faults of declared objects: where they are, what was found and what to do. */

/** Fault of a declared object. */
export type ObjectDiagnostic = {
  /** An error keeps the objects from being applied; a warning does not. */
  severity: 'error' | 'warning';
  /** Object in question, `kind/name`, or its position when it has neither. */
  object: string;
  /** Field in question, for example `spec.methods[0]`; empty for the whole object. */
  path: string;
  /** Value found there. */
  found: unknown;
  message: string;
  /** What to change. */
  remedy: string;
};

const FOUND_VALUE_MAX_LENGTH = 80;

const formatFoundValue = (found: unknown): string => {
  const text = found === undefined ? 'nothing' : JSON.stringify(found);
  return text.length > FOUND_VALUE_MAX_LENGTH ? `${text.slice(0, FOUND_VALUE_MAX_LENGTH)}…` : text;
};

/** Writes a path the way operators read it. */
export const formatPath = (path: readonly PropertyKey[]): string =>
  path.map(key => typeof key === 'number' ? `[${key}]` : `.${String(key)}`).join('').replace(/^\./u, '');

/** Writes a fault on one line. */
export const formatDiagnostic = (diagnostic: ObjectDiagnostic): string =>
  `${diagnostic.severity}: ${diagnostic.object}${diagnostic.path === '' ? '' : ` ${diagnostic.path}`}: ${diagnostic.message} (found ${formatFoundValue(diagnostic.found)}); ${diagnostic.remedy}`;
