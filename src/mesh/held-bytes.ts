/** Bounds the bytes of responses that a process holds, in total and for each response. */

/** Bytes that one holder has reserved. */
export type Reservation = {
  /** Reserves further bytes; false when they exceed the share of one holder or the total. */
  add: (bytes: number) => boolean;
  /** Releases all bytes; may be called more than once. */
  release: () => void;
};

/** Bytes that are held at the moment. */
export type HeldBytes = {
  reserve: () => Reservation;
  total: () => number;
};

/** Options of the bound, in bytes. */
export type HeldBytesOptions = {totalMax: number; shareMax: number};

/** Creates a bound with nothing held. */
export const createHeldBytes = ({totalMax, shareMax}: HeldBytesOptions): HeldBytes => {
  let total = 0;
  return {
    reserve() {
      let reserved = 0;
      return {
        add(bytes) {
          if (reserved + bytes > shareMax || total + bytes > totalMax) {
            return false;
          }

          reserved += bytes;
          total += bytes;
          return true;
        },
        release() {
          total -= reserved;
          reserved = 0;
        },
      };
    },
    total: () => total,
  };
};
