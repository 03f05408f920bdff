/** Faults of declared objects: where they are, what was found and what to do. */

/** Fault of a declared object. */
export type ObjectFault = {
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

const FOUND_MAX_LENGTH = 80;

const foundText = (found: unknown): string => {
  const text = found === undefined ? 'nothing' : JSON.stringify(found);
  return text.length > FOUND_MAX_LENGTH ? `${text.slice(0, FOUND_MAX_LENGTH)}…` : text;
};

/** Writes a path the way operators read it. */
export const pathText = (path: readonly PropertyKey[]): string =>
  path.map(key => typeof key === 'number' ? `[${key}]` : `.${String(key)}`).join('').replace(/^\./u, '');

/** Writes a fault on one line. */
export const faultText = (fault: ObjectFault): string =>
  `${fault.severity}: ${fault.object}${fault.path === '' ? '' : ` ${fault.path}`}: ${fault.message} (found ${foundText(fault.found)}); ${fault.remedy}`;
