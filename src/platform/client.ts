/** Client of the platform's object API: versions, conditional writes and watches over HTTP. */
import type {Result} from '../shared/result.js';

/** Object as the platform holds it. */
export type PlatformObject = {
  kind: string;
  name: string;
  /** Grows with each write of any object; equal versions mean equal content. */
  version: number;
  value: unknown;
};

/** Why a call to the platform failed. */
export type PlatformFault =
  | {kind: 'unreachable'; message: string}
  | {kind: 'timed-out'; message: string}
  | {kind: 'conflict'; message: string; current: PlatformObject | undefined}
  | {kind: 'not-found'; message: string}
  | {kind: 'too-large'; message: string}
  | {kind: 'rejected'; message: string};

/** Conditional write of an object. */
export type PlatformWrite = {
  kind: string;
  name: string;
  value: unknown;
  /** Version that the write replaces; undefined creates the object. */
  expectedVersion: number | undefined;
};

/** What a watch reports. */
export type WatchEvent =
  | {kind: 'changed'; object: PlatformObject}
  | {kind: 'deleted'; objectKind: string; name: string; version: number}
  /** The watch ended or went silent; the caller opens a new one after reading the state. */
  | {kind: 'broken'; message: string};

/** Client of the platform. */
export type PlatformClient = {
  read: (kind: string, name: string) => Promise<Result<PlatformObject, PlatformFault>>;
  list: (kind: string) => Promise<Result<PlatformObject[], PlatformFault>>;
  /** `unreachable` and `timed-out` leave the outcome open: read the object back and compare its write id. */
  write: (write: PlatformWrite) => Promise<Result<PlatformObject, PlatformFault>>;
  /** Reports changes of a kind after a version until closed or broken. */
  watch: (kind: string, afterVersion: number, onEvent: (event: WatchEvent) => void) => {close: () => void};
  close: () => Promise<void>;
};
