/** Errors and warnings about declared objects: where they are, what was found and how to fix it. */

/** Error or warning about a declared object. */
export type ObjectDiagnostic = {
  /** Errors prevent the objects from being applied; warnings do not. */
  severity: 'error' | 'warning';
  /** Object concerned: `kind/name`, its position when one of them is missing, or `configuration` for the whole set. */
  object: string;
  /** Field concerned, for example `spec.methods[0]`; empty for the whole object. */
  path: string;
  /** Value found there. */
  found: unknown;
  message: string;
  /** How to fix the problem. */
  remedy: string;
};

const FOUND_VALUE_MAX_LENGTH = 80;

const formatFoundValue = (found: unknown): string => {
  const text = found === undefined ? 'nothing' : JSON.stringify(found);
  return text.length > FOUND_VALUE_MAX_LENGTH ? `${text.slice(0, FOUND_VALUE_MAX_LENGTH)}…` : text;
};

/** Formats a path, for example as `spec.methods[0]`. */
export const formatPath = (path: readonly PropertyKey[]): string =>
  path.map(key => typeof key === 'number' ? `[${key}]` : `.${String(key)}`).join('').replace(/^\./u, '');

/** Formats a diagnostic as one line. */
export const formatDiagnostic = (diagnostic: ObjectDiagnostic): string =>
  `${diagnostic.severity}: ${diagnostic.object}${diagnostic.path === '' ? '' : ` ${diagnostic.path}`}: ${diagnostic.message} (found ${formatFoundValue(diagnostic.found)}); ${diagnostic.remedy}`;
