/** Attribute values in DynamoDB JSON. */
import { isDeepStrictEqual } from 'node:util';

/** A value with its type name, such as `{"S":"text"}`; binary values are in base64. */
export type AttributeValue = Readonly<Record<string, unknown>>;

/** A row. */
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
 * @param left - a value
 * @param right - a value
 * @returns negative, zero or positive; nothing when they have no order
 */
export const compareValues = (left: AttributeValue, right: AttributeValue): number | undefined => {
  if (Object.keys(left)[0] !== Object.keys(right)[0]) return undefined;
  const [a, b] = [parseScalar(left), parseScalar(right)];
  if (typeof a === 'number' && typeof b === 'number') return a - b;
  if (Buffer.isBuffer(a) && Buffer.isBuffer(b)) return Buffer.compare(a, b);
  return undefined;
};

/**
 * Tells whether two values are equal.
 *
 * @param left - a value
 * @param right - a value
 * @returns whether type and content are equal
 */
export const equalValues = (left: AttributeValue, right: AttributeValue): boolean =>
  compareValues(left, right) === 0 || isDeepStrictEqual(left, right);
