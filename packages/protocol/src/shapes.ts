/**
 * Shapes of small messages that come by the hundred a second, for which a general schema library takes several
 * times as long as the rest of the message's handling.
 */

/** Tells whether a value has a shape. */
export type Shape<Content> = (value: unknown) => value is Content;

/** What a shape describes. */
export type ContentOf<Described> = Described extends Shape<infer Content> ? Content : never;

type Contents<Shapes extends readonly Shape<unknown>[]> = {
  -readonly [Index in keyof Shapes]: ContentOf<Shapes[Index]>;
};

/**
 * A text.
 *
 * @param value - any value
 * @returns whether it is one
 */
export const text: Shape<string> = (value): value is string => typeof value === 'string';

/**
 * A number from 0.
 *
 * @param value - any value
 * @returns whether it is one
 */
export const amount: Shape<number> = (value): value is number =>
  typeof value === 'number' && value >= 0 && value < Number.POSITIVE_INFINITY;

/**
 * A whole number from 0.
 *
 * @param value - any value
 * @returns whether it is one
 */
export const count: Shape<number> = (value): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;

/**
 * Yes or no.
 *
 * @param value - any value
 * @returns whether it is one of both
 */
export const flag: Shape<boolean> = (value): value is boolean => typeof value === 'boolean';

/**
 * A list of values of one shape.
 *
 * @param item - shape of each value
 * @returns shape of the list
 */
export const listOf =
  <Content>(item: Shape<Content>): Shape<Content[]> =>
  (value): value is Content[] =>
    Array.isArray(value) && value.every((content) => item(content));

/**
 * A list of a fixed number of values, each with a shape of its own.
 *
 * @param shapes - shape of each value in order
 * @returns shape of the list
 */
export const tuple =
  <Shapes extends readonly Shape<unknown>[]>(...shapes: Shapes): Shape<Contents<Shapes>> =>
  (value): value is Contents<Shapes> =>
    Array.isArray(value) &&
    value.length === shapes.length &&
    shapes.every((shape, index) => shape(value[index]));
