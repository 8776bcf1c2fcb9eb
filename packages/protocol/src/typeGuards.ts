/**
 * Type guards for small messages that arrive hundreds of times a second. Validating them with a general schema
 * library would take several times as long as the rest of their handling.
 */

/** Checks whether a value has a type. */
export type TypeGuard<Type> = (value: unknown) => value is Type;

/** Type that a guard checks for. */
export type GuardedType<Guard> = Guard extends TypeGuard<infer Type> ? Type : never;

type GuardedTypes<Guards extends readonly TypeGuard<unknown>[]> = {
  -readonly [Index in keyof Guards]: GuardedType<Guards[Index]>;
};

/**
 * Checks whether a value is a string.
 *
 * @param value - any value
 * @returns whether it is a string
 */
export const isString: TypeGuard<string> = (value): value is string => typeof value === 'string';

/**
 * Checks whether a value is a finite number, 0 or greater.
 *
 * @param value - any value
 * @returns whether it is such a number
 */
export const isNonNegativeNumber: TypeGuard<number> = (value): value is number =>
  typeof value === 'number' && value >= 0 && value < Number.POSITIVE_INFINITY;

/**
 * Checks whether a value is a safe integer, 0 or greater.
 *
 * @param value - any value
 * @returns whether it is such an integer
 */
export const isNonNegativeInteger: TypeGuard<number> = (value): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;

/**
 * Creates a type guard for counts.
 *
 * @param max - maximum of the count
 * @returns type guard for integers from 0 to the maximum
 */
export const countUpTo =
  (max: number): TypeGuard<number> =>
  (value): value is number =>
    isNonNegativeInteger(value) && value <= max;

/**
 * Checks whether a value is a boolean.
 *
 * @param value - any value
 * @returns whether it is a boolean
 */
export const isBoolean: TypeGuard<boolean> = (value): value is boolean =>
  typeof value === 'boolean';

/**
 * Creates a type guard for arrays whose elements have one type.
 *
 * @param guard - type guard for each element
 * @returns type guard for the array
 */
export const arrayOf =
  <Type>(guard: TypeGuard<Type>): TypeGuard<Type[]> =>
  (value): value is Type[] =>
    Array.isArray(value) && value.every((element) => guard(element));

/**
 * Creates a type guard for tuples.
 *
 * @param guards - type guard for each element, in order
 * @returns type guard for the tuple
 */
export const tupleOf =
  <Guards extends readonly TypeGuard<unknown>[]>(
    ...guards: Guards
  ): TypeGuard<GuardedTypes<Guards>> =>
  (value): value is GuardedTypes<Guards> =>
    Array.isArray(value) &&
    value.length === guards.length &&
    guards.every((guard, index) => guard(value[index]));
