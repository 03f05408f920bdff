/** Ranges of HTTP status codes (RFC 9110, section 15). */

/** Responses with a lower status are informational and come before the final one. */
export const FIRST_FINAL_STATUS = 200;
/** Highest status that HTTP has. */
export const LAST_STATUS = 599;

/** Whether a status is that of a final response. */
export const isFinalStatus = (status: number): boolean => status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
