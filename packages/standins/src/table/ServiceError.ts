/** Error responses of the table service. */

/** Thrown to respond to a request with an error of the service. */
export class ServiceError extends Error {
  /**
   * @param type - exception name, such as `ValidationException`
   * @param message - message of the response
   * @param members - additional fields of the response body
   * @param status - HTTP status
   */
  constructor(
    readonly type: string,
    message: string,
    readonly members: Readonly<Record<string, unknown>> = {},
    readonly status = 400,
  ) {
    super(message);
  }
}

/**
 * Creates the error for an invalid request.
 *
 * @param message - description of the problem
 * @returns a `ValidationException`
 */
export const invalid = (message: string): ServiceError =>
  new ServiceError('ValidationException', message);
