/** Bounds the memory that a process holds for messages that are incomplete or wait, by what it costs and not by what has been sent. */

/** Memory that one holder has reserved. */
export type Reservation = {
  /** Reserves further bytes; false, and nothing is reserved, when they exceed the total. */
  add: (bytes: number) => boolean;
  /** Releases all bytes; may be called more than once. */
  release: () => void;
};

/** Memory that is held at the moment. */
export type HeldBytes = {
  reserve: () => Reservation;
  total: () => number;
};

/** Creates a bound with nothing held; `totalMax` is in bytes. */
export const createHeldBytes = ({totalMax}: {totalMax: number}): HeldBytes => {
  let total = 0;
  return {
    reserve() {
      let reserved = 0;
      return {
        add(bytes) {
          if (total + bytes > totalMax) {
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
