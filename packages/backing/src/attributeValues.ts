/** Converts row attributes to and from the types of the DynamoDB client. */
import type { AttributeValue } from '@aws-sdk/client-dynamodb';
import type { Attribute, Attributes } from './Table.js';

/** A row in the client's representation. */
export type Item = Record<string, AttributeValue>;

const mapValues = <From, To>(
  record: Readonly<Record<string, From>>,
  convert: (value: From) => To,
): Record<string, To> =>
  Object.fromEntries(Object.entries(record).map(([name, value]) => [name, convert(value)]));

/**
 * Converts an attribute to the client's representation.
 *
 * @param attribute - value of an attribute
 * @returns the typed value
 */
export const toAttributeValue = (attribute: Attribute): AttributeValue => {
  if (attribute === null) return { NULL: true };
  if (typeof attribute === 'string') return { S: attribute };
  if (typeof attribute === 'number') return { N: String(attribute) };
  if (typeof attribute === 'boolean') return { BOOL: attribute };
  if (attribute instanceof Uint8Array) return { B: attribute };
  // Array.isArray does not narrow a readonly array out of a union.
  if (Array.isArray(attribute)) {
    return { L: (attribute as readonly Attribute[]).map(toAttributeValue) };
  }
  return { M: mapValues(attribute as Attributes, toAttributeValue) };
};

/**
 * Converts attributes to the client's representation.
 *
 * @param attributes - attributes by name
 * @returns the typed values by name
 */
export const toItem = (attributes: Attributes): Item => mapValues(attributes, toAttributeValue);

/**
 * Converts an attribute from the client's representation.
 *
 * @param value - the typed value
 * @returns the attribute
 * @throws TypeError when the type is one that this project does not write, such as a set
 */
export const fromAttributeValue = (value: AttributeValue): Attribute => {
  if (value.S !== undefined) return value.S;
  if (value.N !== undefined) return Number(value.N);
  if (value.BOOL !== undefined) return value.BOOL;
  if (value.NULL !== undefined) return null;
  if (value.B !== undefined) return value.B;
  if (value.L !== undefined) return value.L.map(fromAttributeValue);
  if (value.M !== undefined) return mapValues(value.M, fromAttributeValue);
  throw new TypeError(`attribute type ${Object.keys(value).join()} is not supported`);
};

/**
 * Converts attributes from the client's representation.
 *
 * @param item - the typed values by name
 * @returns the attributes by name
 */
export const fromItem = (item: Item): Record<string, Attribute> =>
  mapValues(item, fromAttributeValue);
