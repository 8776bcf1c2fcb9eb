/** The subset of DynamoDB condition and update expressions that jacinthlug uses. */
import { compareValues, equalValues, type AttributeValue, type Item } from './attributeValues.js';
import { invalid } from './ServiceError.js';

/** Values of the placeholders in an expression. */
export interface Placeholders {
  readonly ExpressionAttributeNames?: Readonly<Record<string, string>>;
  readonly ExpressionAttributeValues?: Readonly<Record<string, AttributeValue>>;
}

/** Context in which an expression is evaluated. */
interface Scope {
  readonly placeholders: Placeholders;
  readonly item: Item | undefined;
}

const resolveName = (token: string, { placeholders }: Scope): string => {
  if (!token.startsWith('#')) return token;
  const name = placeholders.ExpressionAttributeNames?.[token];
  if (name === undefined) throw invalid(`undefined attribute name ${token}`);
  return name;
};

const resolveOperand = (token: string, scope: Scope): AttributeValue | undefined => {
  if (!token.startsWith(':')) return scope.item?.[resolveName(token, scope)];
  const value = scope.placeholders.ExpressionAttributeValues?.[token];
  if (value === undefined) throw invalid(`undefined attribute value ${token}`);
  return value;
};

const createOrderComparator =
  (matches: (order: number) => boolean) =>
  (left: AttributeValue, right: AttributeValue): boolean => {
    const order = compareValues(left, right);
    return order !== undefined && matches(order);
  };

const comparators: Readonly<
  Record<string, (left: AttributeValue, right: AttributeValue) => boolean>
> = {
  '=': equalValues,
  '<>': (left, right) => !equalValues(left, right),
  '<': createOrderComparator((order) => order < 0),
  '<=': createOrderComparator((order) => order <= 0),
  '>': createOrderComparator((order) => order > 0),
  '>=': createOrderComparator((order) => order >= 0),
};

const functions: Readonly<Record<string, (operands: readonly string[], scope: Scope) => boolean>> =
  {
    attribute_exists: ([path = ''], scope) => resolveOperand(path, scope) !== undefined,
    attribute_not_exists: ([path = ''], scope) => resolveOperand(path, scope) === undefined,
    begins_with: ([path = '', start = ''], scope) => {
      const value = resolveOperand(path, scope)?.S;
      const prefix = resolveOperand(start, scope)?.S;
      return typeof value === 'string' && typeof prefix === 'string' && value.startsWith(prefix);
    },
  };

const FUNCTION_TERM = /^(\w+)\s*\(([^()]*)\)$/;
const COMPARISON_TERM = /^([#:]?\w+)\s*(=|<>|<=|>=|<|>)\s*([#:]?\w+)$/;

const evaluateTerm = (term: string, scope: Scope): boolean => {
  const call = FUNCTION_TERM.exec(term);
  if (call) {
    const handler = functions[call[1] ?? ''];
    if (!handler) throw invalid(`unknown function ${call[1]}`);
    const operands = (call[2] ?? '').split(',').map((operand) => operand.trim());
    return handler(operands, scope);
  }
  const [, leftToken = '', comparator = '', rightToken = ''] = COMPARISON_TERM.exec(term) ?? [];
  const compare = comparators[comparator];
  if (!compare) throw invalid(`unsupported term "${term}"`);
  const left = resolveOperand(leftToken, scope);
  const right = resolveOperand(rightToken, scope);
  return left !== undefined && right !== undefined && compare(left, right);
};

/**
 * Evaluates a condition: terms joined by AND.
 *
 * @param expression - the condition; `undefined` is always met
 * @param placeholders - values of the placeholders in the condition
 * @param item - the row; `undefined` if it does not exist
 * @returns whether the condition is met
 */
export const evaluateCondition = (
  expression: string | undefined,
  placeholders: Placeholders,
  item: Item | undefined,
): boolean => {
  const terms = expression?.split(/\s+AND\s+/).map((term) => term.trim()) ?? [];
  // All terms are evaluated, so that a malformed one is reported regardless of the row.
  return terms.map((term) => evaluateTerm(term, { placeholders, item })).every(Boolean);
};

/**
 * Evaluates an update of the form `SET name = value, ...`.
 *
 * @param expression - the update
 * @param placeholders - values of the placeholders in the update
 * @param item - the row before the update
 * @returns the row after the update
 */
export const applyUpdate = (expression: string, placeholders: Placeholders, item: Item): Item => {
  const assignments = /^SET\s+(.+)$/.exec(expression.trim())?.[1];
  if (assignments === undefined) throw invalid(`unsupported update "${expression}"`);
  const scope = { placeholders, item };
  const changes = assignments.split(',').map((assignment) => {
    const [name = '', value = '', ...rest] = assignment.split('=').map((part) => part.trim());
    const operand = resolveOperand(value, scope);
    if (operand === undefined || rest.length > 0) throw invalid(`unsupported "${assignment}"`);
    return [resolveName(name, scope), operand] as const;
  });
  return { ...item, ...Object.fromEntries(changes) };
};
