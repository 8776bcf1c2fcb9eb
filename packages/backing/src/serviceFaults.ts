/** Extracts details of a failed call from the errors of the AWS SDK clients. */

/** Details of an error that an SDK client threw. */
export interface ServiceFault {
  /** Name of the exception. */
  readonly name: string;
  readonly message: string;
  /** HTTP status; absent without a response. */
  readonly status?: number;
  /** Code of the system error; absent with a response. */
  readonly code?: string;
}

interface SdkFault {
  readonly name?: string;
  readonly message?: string;
  readonly code?: string;
  readonly $metadata?: { readonly httpStatusCode?: number };
}

/** System error codes that mean that the connection was never established. */
const connectErrorCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'ENOTFOUND',
  'EAI_AGAIN',
]);

/** Message of the HTTP handler for a connection timeout, which has no error code. */
const CONNECT_TIMEOUT_MESSAGE = 'did not establish a connection';

/**
 * Extracts the details of an error that an SDK client threw.
 *
 * @param fault - what was thrown
 * @returns its details
 */
export const readFault = (fault: unknown): ServiceFault => {
  const { name = 'Error', message = '', code, $metadata } = fault as SdkFault;
  const status = $metadata?.httpStatusCode;
  return {
    name,
    message: `${name}: ${message || (code ?? 'no message')}`,
    ...(status === undefined ? {} : { status }),
    ...(code === undefined ? {} : { code }),
  };
};

/**
 * Checks whether the connection was never established, so that the service cannot have received the call.
 *
 * @param fault - details of the error
 * @returns whether nothing was sent
 */
export const isConnectError = ({ status, code, message }: ServiceFault): boolean =>
  status === undefined &&
  (connectErrorCodes.has(code ?? '') || message.includes(CONNECT_TIMEOUT_MESSAGE));
