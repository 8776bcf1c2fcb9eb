/** Converts the writes of a transaction to the types of the DynamoDB client. */
import type { TransactWriteItem } from '@aws-sdk/client-dynamodb';
import { toAttributeValue, toItem, type Item } from './attributeValues.js';
import type { Attribute, Attributes, Condition, RowKey, Write } from './Table.js';

/** Placeholders in the expressions of one write. */
class Placeholders {
  readonly names: Record<string, string> = {};

  readonly values: Item = {};

  /**
   * Adds a placeholder for the name of an attribute.
   *
   * @param attribute - the name
   * @returns its placeholder
   */
  addName(attribute: string): string {
    const placeholder = `#n${Object.keys(this.names).length}`;
    this.names[placeholder] = attribute;
    return placeholder;
  }

  /**
   * Adds a placeholder for a value.
   *
   * @param attribute - the value
   * @returns its placeholder
   */
  addValue(attribute: Attribute): string {
    const placeholder = `:v${Object.keys(this.values).length}`;
    this.values[placeholder] = toAttributeValue(attribute);
    return placeholder;
  }

  /**
   * Returns the fields of a write that define the placeholders.
   *
   * @returns the fields; empty ones are omitted because the service rejects them
   */
  toExpressionAttributes(): {
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

type ConditionRenderer<Kind extends Condition['kind']> = (
  condition: ConditionOf<Kind>,
  placeholders: Placeholders,
) => string;

const conditionRenderers: { readonly [Kind in Condition['kind']]: ConditionRenderer<Kind> } = {
  absent: (_condition, placeholders) => `attribute_not_exists(${placeholders.addName('pk')})`,
  present: (_condition, placeholders) => `attribute_exists(${placeholders.addName('pk')})`,
  equals: ({ attribute, value }, placeholders) =>
    `${placeholders.addName(attribute)} = ${placeholders.addValue(value)}`,
  less: ({ attribute, value }, placeholders) =>
    `${placeholders.addName(attribute)} < ${placeholders.addValue(value)}`,
  missing: ({ attribute }, placeholders) =>
    `attribute_not_exists(${placeholders.addName(attribute)})`,
};

const renderConditions = (
  conditions: readonly Condition[],
  placeholders: Placeholders,
): string | undefined => {
  const rendered = conditions.map((condition) => {
    const render = conditionRenderers[condition.kind] as ConditionRenderer<Condition['kind']>;
    return render(condition, placeholders);
  });
  return rendered.length > 0 ? rendered.join(' AND ') : undefined;
};

const renderUpdate = (set: Attributes, placeholders: Placeholders): string => {
  const assignments = Object.entries(set).map(
    ([name, value]) => `${placeholders.addName(name)} = ${placeholders.addValue(value)}`,
  );
  return `SET ${assignments.join(', ')}`;
};

/**
 * Converts the key of a row to the client's representation.
 *
 * @param key - the key
 * @returns the key attributes
 */
export const toKey = ({ pk, sk }: RowKey): Item => ({ pk: { S: pk }, sk: { S: sk } });

type WriteOf<Kind extends Write['kind']> = Extract<Write, { kind: Kind }>;

/** Fields that all kinds of writes have. */
interface CommonFields {
  readonly TableName: string;
  readonly ConditionExpression?: string;
}

type Builder<Kind extends Write['kind']> = (
  write: WriteOf<Kind>,
  common: CommonFields,
  placeholders: Placeholders,
) => TransactWriteItem;

const builders: { readonly [Kind in Write['kind']]: Builder<Kind> } = {
  put: ({ key, attributes }, common, placeholders) => ({
    Put: {
      ...common,
      Item: { ...toItem(attributes), ...toKey(key) },
      ...placeholders.toExpressionAttributes(),
    },
  }),
  update: ({ key, set }, common, placeholders) => ({
    Update: {
      ...common,
      Key: toKey(key),
      UpdateExpression: renderUpdate(set, placeholders),
      ...placeholders.toExpressionAttributes(),
    },
  }),
  delete: ({ key }, common, placeholders) => ({
    Delete: { ...common, Key: toKey(key), ...placeholders.toExpressionAttributes() },
  }),
  check: ({ key }, common, placeholders) => ({
    ConditionCheck: {
      ...common,
      Key: toKey(key),
      ConditionExpression: common.ConditionExpression,
      ...placeholders.toExpressionAttributes(),
    },
  }),
};

/**
 * Converts a write to the client's representation.
 *
 * @param write - the write
 * @param table - name of the table
 * @returns the item of the transaction
 */
export const toTransactItem = (write: Write, table: string): TransactWriteItem => {
  const placeholders = new Placeholders();
  const condition = renderConditions(write.conditions ?? [], placeholders);
  const common = {
    TableName: table,
    ...(condition === undefined ? {} : { ConditionExpression: condition }),
  };
  const build = builders[write.kind] as Builder<Write['kind']>;
  return build(write, common, placeholders);
};
