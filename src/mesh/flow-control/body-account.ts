/** Account of the request bodies that a process holds for calls of its peers, each from its grant or first byte until the result of its call. */
import {LONG_BODY_BYTES} from '../body-buffer.js';

/** Memory of one body. */
export type HeldBody = {
  /** Releases the memory; may be called more than once. */
  release: () => void;
};

/** Account of all bodies. */
export type BodyAccount = {
  /** Counts a body that waits if it does not fit; undefined, and nothing is counted, when it does not. */
  holdGranted: (bytes: number) => HeldBody | undefined;
  /** Counts a body that cannot wait, because its peer has sent it with the call. */
  holdUngranted: (bytes: number) => HeldBody | undefined;
  /** Memory of the counted bodies, in bytes. */
  heldBytes: () => number;
};

/** Share of the bound that long bodies may take; the rest is kept for short ones, which may use all that is free, so that calls with short bodies run beside uploads. */
const LONG_SHARE = 0.75;

/** Bound on all bodies as a multiple of the whole bound, up to which a long one that cannot wait is taken: processes of earlier versions send long bodies with their calls, and a refusal fails a call that they can send nowhere else. */
const UNGRANTED_BOUND_FACTOR = 2;

const NO_BODY: HeldBody = {release: () => undefined};

/** Whether a body is sent only when it has been granted. */
export const isLongBody = (bytes: number): boolean => bytes > LONG_BODY_BYTES;

/** Creates an account without bodies; `heldBytesMax` is in bytes. A long body over the bound fits while no other long one is held. */
export const createBodyAccount = ({heldBytesMax}: {heldBytesMax: number}): BodyAccount => {
  const held = {long: 0, short: 0};
  const shortBytesMax = heldBytesMax * (1 - LONG_SHARE);

  /** Short bodies use what long ones leave, and at least their own part. A long body fits beside any short ones while no other long one is held, so that it does not wait for ever. */
  const fits = (bytes: number, {longBytesMax, sumMax}: {longBytesMax: number; sumMax: number}): boolean => {
    const sum = held.short + held.long + bytes;
    return isLongBody(bytes)
      ? held.long === 0 || (held.long + bytes <= longBytesMax && sum <= sumMax)
      : sum <= heldBytesMax || held.short + bytes <= shortBytesMax;
  };

  const hold = (bytes: number, bounds: {longBytesMax: number; sumMax: number}): HeldBody | undefined => {
    if (bytes === 0) {
      return NO_BODY;
    }

    if (!fits(bytes, bounds)) {
      return undefined;
    }

    const kind = isLongBody(bytes) ? 'long' : 'short';
    held[kind] += bytes;
    let isHeld = true;
    return {
      release() {
        held[kind] -= isHeld ? bytes : 0;
        isHeld = false;
      },
    };
  };

  return {
    holdGranted: bytes => hold(bytes, {longBytesMax: heldBytesMax * LONG_SHARE, sumMax: heldBytesMax}),
    holdUngranted: bytes => hold(bytes, {longBytesMax: heldBytesMax * UNGRANTED_BOUND_FACTOR, sumMax: heldBytesMax * UNGRANTED_BOUND_FACTOR}),
    heldBytes: () => held.long + held.short,
  };
};
