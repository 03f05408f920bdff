/** Formats numbers for the capacity page. */

const PRECISION = 4;

/** Formats a number with four significant digits and thousands separators. */
export const formatNumber = (value: number): string =>
  Number(value.toPrecision(PRECISION)).toLocaleString('en-GB', {maximumSignificantDigits: PRECISION});
