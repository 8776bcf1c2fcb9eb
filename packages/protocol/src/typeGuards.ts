/**
 * Shapes of small messages that come by the hundred a second, for which a general schema library takes several
 * times as long as the rest of the message's handling.
 */

/** Tells whether a value has a shape. */
export type TypeGuard<Content> = (value: unknown) => value is Content;

/** What a shape describes. */
export type GuardedType<Described> = Described extends TypeGuard<infer Content> ? Content : never;

type GuardedTypes<Shapes extends readonly TypeGuard<unknown>[]> = {
  -readonly [Index in keyof Shapes]: GuardedType<Shapes[Index]>;
};

/**
 * A text.
 *
 * @param value - any value
 * @returns whether it is one
 */
export const isString: TypeGuard<string> = (value): value is string => typeof value === 'string';

/**
 * A number from 0.
 *
 * @param value - any value
 * @returns whether it is one
 */
export const isNonNegativeNumber: TypeGuard<number> = (value): value is number =>
  typeof value === 'number' && value >= 0 && value < Number.POSITIVE_INFINITY;

/**
 * A whole number from 0.
 *
 * @param value - any value
 * @returns whether it is one
 */
export const isNonNegativeInteger: TypeGuard<number> = (value): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;

/**
 * Yes or no.
 *
 * @param value - any value
 * @returns whether it is one of both
 */
export const isBoolean: TypeGuard<boolean> = (value): value is boolean =>
  typeof value === 'boolean';

/**
 * A list of values of one shape.
 *
 * @param item - shape of each value
 * @returns shape of the list
 */
export const arrayOf =
  <Content>(item: TypeGuard<Content>): TypeGuard<Content[]> =>
  (value): value is Content[] =>
    Array.isArray(value) && value.every((content) => item(content));

/**
 * A list of a fixed number of values, each with a shape of its own.
 *
 * @param shapes - shape of each value in order
 * @returns shape of the list
 */
export const tupleOf =
  <Shapes extends readonly TypeGuard<unknown>[]>(
    ...shapes: Shapes
  ): TypeGuard<GuardedTypes<Shapes>> =>
  (value): value is GuardedTypes<Shapes> =>
    Array.isArray(value) &&
    value.length === shapes.length &&
    shapes.every((shape, index) => shape(value[index]));
