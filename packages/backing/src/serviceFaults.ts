/** Reads what a fault of an SDK client says about the call. */

/** Facts of a fault that the SDK clients throw. */
export interface ServiceFault {
  /** Name of the exception. */
  readonly name: string;
  readonly message: string;
  /** HTTP status; absent without an answer. */
  readonly status?: number;
  /** Code of the system error; absent with an answer. */
  readonly code?: string;
}

interface SdkFault {
  readonly name?: string;
  readonly message?: string;
  readonly code?: string;
  readonly $metadata?: { readonly httpStatusCode?: number };
}

/** System errors of a connection that was never established. */
const connectErrorCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'ENOTFOUND',
  'EAI_AGAIN',
]);

/** Text of the HTTP handler for a connection that was not established in time; it has no code. */
const CONNECT_TIMEOUT_MESSAGE = 'did not establish a connection';

/**
 * Reads a fault that an SDK client threw.
 *
 * @param fault - what was thrown
 * @returns its facts
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
 * Tells whether a connection was never established, so that the service cannot have the call.
 *
 * @param fault - facts of the fault
 * @returns whether nothing was sent
 */
export const isConnectError = ({ status, code, message }: ServiceFault): boolean =>
  status === undefined &&
  (connectErrorCodes.has(code ?? '') || message.includes(CONNECT_TIMEOUT_MESSAGE));
