/** Checks figures in the messages of other processes, which may be of another version. */

/** Whether a value is a finite number that is not negative. */
export const isAmount = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value) && value >= 0;

/** Whether a value is a part of a whole, from 0 to 1. */
export const isShare = (value: unknown): value is number => isAmount(value) && value <= 1;
