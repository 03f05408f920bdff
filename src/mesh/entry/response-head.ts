/** Decides which heads of responses may be passed on to a caller. Both entrances of responses ask it before they keep anything of the response: the connection to the backend server line by line, the links to other processes for a whole head. */
import {LAST_STATUS} from '../../shared/http-status.js';

/** Head of a response; raw headers alternate names and values, one character for each byte. */
export type ResponseHead = {status: number; rawHeaders: readonly string[]};

const FIRST_STATUS = 100;
/** Token of RFC 9110. */
const HEADER_NAME = /^[\w!#$%&'*+\-.^`|~]+$/u;
/** Bytes above 127 are allowed: values may be in UTF-8 or any other encoding, and are passed on byte by byte. */
const FORBIDDEN_TEXT = /[^\t\u0020-\u007E\u0080-\u00FF]/u;

const quote = (text: string): string => JSON.stringify(text.slice(0, 80));

/** Whether HTTP allows a text as a header name. */
export const isHeaderName = (text: string): boolean => HEADER_NAME.test(text);

/** Whether HTTP allows a text as a header value. */
export const isHeaderValue = (text: string): boolean => !FORBIDDEN_TEXT.test(text);

/** Finds what HTTP does not allow in a head; undefined when it can be passed on. */
export const findHeadFault = ({status, rawHeaders}: ResponseHead): string | undefined => {
  if (!Number.isInteger(status) || status < FIRST_STATUS || status > LAST_STATUS) {
    return `status ${status} is not between ${FIRST_STATUS} and ${LAST_STATUS}`;
  }

  const fault = rawHeaders.findIndex((text, index) => index % 2 === 0 ? !isHeaderName(text) : !isHeaderValue(text));
  if (fault === -1) {
    return undefined;
  }

  return fault % 2 === 0
    ? `${quote(rawHeaders[fault]!)} is not a header name`
    : `the value of the header ${quote(rawHeaders[fault - 1]!)} contains a control character: ${quote(rawHeaders[fault]!)}`;
};
