/** Checks what states the end of a response. A response whose end is misread looks complete, so nothing lenient is allowed here. */

/** At most 16 digits, which fit into a number. */
const LENGTH = /^\d{1,16}$/u;
const CHUNK_SIZE_LINE = /^[\da-f]{1,12}[\t ]*(?:;.*)?$/iu;
/** A field, the continuation of one, or the empty line at the end. */
const FIELD_LINE = /^(?:[^\s:]+:.*|[\t ].*|)$/u;

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

/** Whether a line may stand where the parser is; `state` is what it expects. */
export const isFramingLine = (state: string, line: string): boolean => {
  switch (state) {
    case 'BODY_CHUNKHEAD': {
      return CHUNK_SIZE_LINE.test(line);
    }

    case 'HEADER':
    case 'BODY_CHUNKTRAILERS': {
      return FIELD_LINE.test(line);
    }

    default: {
      return true;
    }
  }
};
