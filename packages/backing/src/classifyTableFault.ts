/** Tells from a fault of the DynamoDB client what is known about the writes. */
import { TransactionCanceledException } from '@aws-sdk/client-dynamodb';
import { isConnectError, readFault, type ServiceFault } from './serviceFaults.js';
import type { TableFailure } from './Table.js';

/** A failure, and whether a repeat soon is likely to end otherwise. */
export interface ClassifiedFailure {
  readonly failure: TableFailure;
  /** The service was busy with the same rows or throttled the call. */
  readonly isTransient: boolean;
}

/** Exceptions that the service answers before it does anything, whatever their HTTP status. */
const rejectionNames: ReadonlySet<string> = new Set([
  'ThrottlingException',
  'ProvisionedThroughputExceededException',
  'RequestLimitExceeded',
  'ServiceUnavailable',
  'ServiceUnavailableException',
]);

/** Exceptions and cancellation reasons after which a repeat soon is likely to end otherwise. */
const transientNames: ReadonlySet<string> = new Set([
  'TransactionInProgressException',
  'TransactionConflictException',
  'TransactionConflict',
  'ThrottlingException',
  'ThrottlingError',
  'ProvisionedThroughputExceededException',
  'ProvisionedThroughputExceeded',
  'RequestLimitExceeded',
]);

const REQUEST_TIMEOUT_STATUS = 408;

/** A cancelled transaction wrote nothing, whatever the reasons are. */
const classifyCancelled = ({
  CancellationReasons = [],
  message,
}: TransactionCanceledException): ClassifiedFailure => {
  const failed = CancellationReasons.flatMap(({ Code }, index) =>
    Code === 'ConditionalCheckFailed' ? [index] : [],
  );
  if (failed.length > 0) return { failure: { kind: 'conflict', failed }, isTransient: false };
  return {
    failure: { kind: 'unavailable', message },
    isTransient: CancellationReasons.some(({ Code = '' }) => transientNames.has(Code)),
  };
};

/** Whether the service refused the call before it did anything. */
const isRejected = ({ name, status = 0 }: ServiceFault): boolean =>
  rejectionNames.has(name) || (status >= 400 && status < 500 && status !== REQUEST_TIMEOUT_STATUS);

/**
 * Classifies a fault of the client.
 *
 * @param fault - what the client threw
 * @returns the failure; `unknown` unless it is certain that nothing was written
 */
export const classifyTableFault = (fault: unknown): ClassifiedFailure => {
  if (fault instanceof TransactionCanceledException) return classifyCancelled(fault);
  const facts = readFault(fault);
  const { name, message } = facts;
  const isTransient = transientNames.has(name);
  // The transaction of an earlier call with this token is still running and may take effect.
  if (name === 'TransactionInProgressException') {
    return { failure: { kind: 'unknown', message }, isTransient };
  }
  const kind = isConnectError(facts) || isRejected(facts) ? 'unavailable' : 'unknown';
  return { failure: { kind, message }, isTransient };
};
