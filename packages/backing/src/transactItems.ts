/** Writes of a transaction in the form of the DynamoDB client. */
import type { TransactWriteItem } from '@aws-sdk/client-dynamodb';
import { toAttributeValue, toItem, type Item } from './attributeValues.js';
import type { Attribute, Attributes, Condition, RowKey, Write } from './Table.js';

/** Collects the placeholders of the expressions of one write. */
class Placeholders {
  readonly names: Record<string, string> = {};

  readonly values: Item = {};

  /**
   * Adds the name of an attribute.
   *
   * @param attribute - the name
   * @returns its placeholder
   */
  name(attribute: string): string {
    const placeholder = `#n${Object.keys(this.names).length}`;
    this.names[placeholder] = attribute;
    return placeholder;
  }

  /**
   * Adds a value.
   *
   * @param attribute - the value
   * @returns its placeholder
   */
  value(attribute: Attribute): string {
    const placeholder = `:v${Object.keys(this.values).length}`;
    this.values[placeholder] = toAttributeValue(attribute);
    return placeholder;
  }

  /**
   * Gives the members of a write that define the placeholders.
   *
   * @returns the members; the service refuses empty ones, so these are left out
   */
  members(): {
    ExpressionAttributeNames?: Record<string, string>;
    ExpressionAttributeValues?: Item;
  } {
    return {
      ...(Object.keys(this.names).length > 0 ? { ExpressionAttributeNames: this.names } : {}),
      ...(Object.keys(this.values).length > 0 ? { ExpressionAttributeValues: this.values } : {}),
    };
  }
}

type ConditionOf<Kind extends Condition['kind']> = Extract<Condition, { kind: Kind }>;

type Term<Kind extends Condition['kind']> = (
  condition: ConditionOf<Kind>,
  placeholders: Placeholders,
) => string;

const terms: { readonly [Kind in Condition['kind']]: Term<Kind> } = {
  absent: (_condition, placeholders) => `attribute_not_exists(${placeholders.name('pk')})`,
  present: (_condition, placeholders) => `attribute_exists(${placeholders.name('pk')})`,
  equals: ({ attribute, value }, placeholders) =>
    `${placeholders.name(attribute)} = ${placeholders.value(value)}`,
  less: ({ attribute, value }, placeholders) =>
    `${placeholders.name(attribute)} < ${placeholders.value(value)}`,
  missing: ({ attribute }, placeholders) => `attribute_not_exists(${placeholders.name(attribute)})`,
};

const conditionExpression = (
  conditions: readonly Condition[],
  placeholders: Placeholders,
): string | undefined => {
  const rendered = conditions.map((condition) => {
    const term = terms[condition.kind] as Term<Condition['kind']>;
    return term(condition, placeholders);
  });
  return rendered.length > 0 ? rendered.join(' AND ') : undefined;
};

const updateExpression = (set: Attributes, placeholders: Placeholders): string => {
  const assignments = Object.entries(set).map(
    ([name, value]) => `${placeholders.name(name)} = ${placeholders.value(value)}`,
  );
  return `SET ${assignments.join(', ')}`;
};

/**
 * Converts the key of a row for the client.
 *
 * @param key - the key
 * @returns the key attributes
 */
export const toKey = ({ pk, sk }: RowKey): Item => ({ pk: { S: pk }, sk: { S: sk } });

type WriteOf<Kind extends Write['kind']> = Extract<Write, { kind: Kind }>;

/** Members that all kinds of writes have. */
interface CommonMembers {
  readonly TableName: string;
  readonly ConditionExpression?: string;
}

type Builder<Kind extends Write['kind']> = (
  write: WriteOf<Kind>,
  common: CommonMembers,
  placeholders: Placeholders,
) => TransactWriteItem;

const builders: { readonly [Kind in Write['kind']]: Builder<Kind> } = {
  put: ({ key, attributes }, common, placeholders) => ({
    Put: { ...common, Item: { ...toItem(attributes), ...toKey(key) }, ...placeholders.members() },
  }),
  update: ({ key, set }, common, placeholders) => ({
    Update: {
      ...common,
      Key: toKey(key),
      UpdateExpression: updateExpression(set, placeholders),
      ...placeholders.members(),
    },
  }),
  delete: ({ key }, common, placeholders) => ({
    Delete: { ...common, Key: toKey(key), ...placeholders.members() },
  }),
  check: ({ key }, common, placeholders) => ({
    ConditionCheck: {
      ...common,
      Key: toKey(key),
      ConditionExpression: common.ConditionExpression,
      ...placeholders.members(),
    },
  }),
};

/**
 * Converts a write for the client.
 *
 * @param write - the write
 * @param table - name of the table
 * @returns the member of the transaction
 */
export const toTransactItem = (write: Write, table: string): TransactWriteItem => {
  const placeholders = new Placeholders();
  const condition = conditionExpression(write.conditions ?? [], placeholders);
  const common = {
    TableName: table,
    ...(condition === undefined ? {} : { ConditionExpression: condition }),
  };
  const build = builders[write.kind] as Builder<Write['kind']>;
  return build(write, common, placeholders);
};
