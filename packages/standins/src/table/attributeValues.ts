/** Attribute values in DynamoDB JSON. */
import { isDeepStrictEqual } from 'node:util';

/** A value under its type descriptor, such as `{"S":"text"}`; binary values are base64. */
export type AttributeValue = Readonly<Record<string, unknown>>;

/** A row: attribute values by attribute name. */
export type Item = Readonly<Record<string, AttributeValue>>;

const parseScalar = (value: AttributeValue): number | Buffer | undefined => {
  if (typeof value.N === 'string') return Number(value.N);
  if (typeof value.S === 'string') return Buffer.from(value.S);
  if (typeof value.B === 'string') return Buffer.from(value.B, 'base64');
  return undefined;
};

/**
 * Compares two values as DynamoDB orders them.
 *
 * @param left - left value
 * @param right - right value
 * @returns negative, zero or positive; `undefined` if the values have no order
 */
export const compareValues = (left: AttributeValue, right: AttributeValue): number | undefined => {
  if (Object.keys(left)[0] !== Object.keys(right)[0]) return undefined;
  const [a, b] = [parseScalar(left), parseScalar(right)];
  if (typeof a === 'number' && typeof b === 'number') return a - b;
  if (Buffer.isBuffer(a) && Buffer.isBuffer(b)) return Buffer.compare(a, b);
  return undefined;
};

/**
 * Checks whether two values are equal.
 *
 * @param left - left value
 * @param right - right value
 * @returns whether both type and content are equal
 */
export const equalValues = (left: AttributeValue, right: AttributeValue): boolean =>
  compareValues(left, right) === 0 || isDeepStrictEqual(left, right);
