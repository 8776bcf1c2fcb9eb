/** Unwraps results in tests. */
import type { Result } from 'neverthrow';

/** Returns the value of a result; an error fails the test. */
export const unwrap = <Value>(result: Result<Value, unknown>): Value => {
  if (result.isOk()) return result.value;
  throw new Error(`unexpected failure: ${JSON.stringify(result.error)}`);
};

/** Returns the error of a result; a value fails the test. */
export const unwrapErr = <Failure>(result: Result<unknown, Failure>): Failure => {
  if (result.isErr()) return result.error;
  throw new Error('unexpected success');
};
