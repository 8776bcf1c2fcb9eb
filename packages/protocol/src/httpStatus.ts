/** Statuses of HTTP responses. */

/** Statuses that HTTP defines, see RFC 9110, section 15. */
const STATUS_RANGE = { min: 100, max: 599 } as const;

/**
 * Checks whether HTTP has a status. HTTP clients pass others on, which no caller can interpret.
 *
 * @param status - status of a response
 * @returns whether it is valid
 */
export const isHttpStatus = (status: number): boolean =>
  status >= STATUS_RANGE.min && status <= STATUS_RANGE.max;
