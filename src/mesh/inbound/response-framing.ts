/** Checks what states the end of a response. A response whose end is misread looks complete, so nothing lenient is allowed here. */

/** At most 16 digits, which fit into a number. */
const LENGTH = /^\d{1,16}$/u;

const valuesOf = (rawHeaders: readonly string[], name: string): string[] =>
  rawHeaders.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === name);

/** Finds what makes the end of a response unknown; undefined when it is stated well, or not at all. */
export const findFramingFault = (rawHeaders: readonly string[]): string | undefined => {
  const length = valuesOf(rawHeaders, 'content-length').find(value => !LENGTH.test(value));
  if (length !== undefined) {
    return `its Content-Length is not a number: ${JSON.stringify(length.slice(0, 80))}`;
  }

  const codings = valuesOf(rawHeaders, 'transfer-encoding');
  return codings.length === 0 || (codings.length === 1 && codings[0]!.toLowerCase() === 'chunked')
    ? undefined
    : `its Transfer-Encoding is not chunked: ${JSON.stringify(codings.join(', ').slice(0, 80))}`;
};
