/** An error that the table service answers. */

/** Thrown to answer a request with an error of the service. */
export class ServiceError extends Error {
  /**
   * @param type - name of the exception, such as `ValidationException`
   * @param message - text
   * @param members - further members of the answer
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
 * Builds the error for a request that the service does not understand.
 *
 * @param message - what is wrong
 * @returns the error
 */
export const invalid = (message: string): ServiceError =>
  new ServiceError('ValidationException', message);
