/** Determines from an error of the DynamoDB client whether the writes can have taken effect. */
import { TransactionCanceledException } from '@aws-sdk/client-dynamodb';
import { isConnectError, readFault, type ServiceFault } from './serviceFaults.js';
import type { TableFailure } from './Table.js';

/** A failure, and whether an early retry is likely to succeed. */
export interface ClassifiedFailure {
  readonly failure: TableFailure;
  /** Whether the service was busy with the same rows, or throttled the call. */
  readonly isTransient: boolean;
}

/** Exceptions by which the service rejects a request before any write, regardless of the HTTP status. */
const rejectionNames: ReadonlySet<string> = new Set([
  'ThrottlingException',
  'ProvisionedThroughputExceededException',
  'RequestLimitExceeded',
  'ServiceUnavailable',
  'ServiceUnavailableException',
]);

/** Exceptions and cancellation reasons after which an early retry is likely to succeed. */
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

/** Classifies a cancelled transaction; it wrote nothing, whatever the cancellation reasons. */
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

/** Checks whether the service rejected the call before any write. */
const isRejected = ({ name, status = 0 }: ServiceFault): boolean =>
  rejectionNames.has(name) || (status >= 400 && status < 500 && status !== REQUEST_TIMEOUT_STATUS);

/**
 * Classifies an error of the client.
 *
 * @param fault - what the client threw
 * @returns the failure; `unknown` unless it is certain that nothing was written
 */
export const classifyTableFault = (fault: unknown): ClassifiedFailure => {
  if (fault instanceof TransactionCanceledException) return classifyCancelled(fault);
  const facts = readFault(fault);
  const { name, message } = facts;
  const isTransient = transientNames.has(name);
  // An earlier call with this token is still in progress, so the transaction may take effect.
  if (name === 'TransactionInProgressException') {
    return { failure: { kind: 'unknown', message }, isTransient };
  }
  const kind = isConnectError(facts) || isRejected(facts) ? 'unavailable' : 'unknown';
  return { failure: { kind, message }, isTransient };
};
