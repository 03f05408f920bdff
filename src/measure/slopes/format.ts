/** Numbers as the page shows them. */

const PRECISION = 4;

/** Number with four significant digits, thousands separated. */
export const formatNumber = (value: number): string =>
  Number(value.toPrecision(PRECISION)).toLocaleString('en-GB', {maximumSignificantDigits: PRECISION});
