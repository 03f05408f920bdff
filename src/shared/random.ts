/** Random number generators. The decision functions take one as an argument, so that a run can be repeated from its seed. */

/** Random number generator; returns the next number in [0, 1). */
export type Random = () => number;

/** Creates a deterministic generator from a 32-bit seed (mulberry32). */
export const createRandom = (seed: number): Random => {
  let state = Math.trunc(seed) % 4_294_967_296;
  return () => {
    state = (state + 0x6D_2B_79_F5) % 4_294_967_296;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
};
