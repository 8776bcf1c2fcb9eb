/** Compares the models of a target with those that the declarations want. */

/** What a target is told to do with a model. */
export interface PlannedOrder {
  readonly model: string;
  readonly action: 'load' | 'unload';
}

/**
 * Plans the orders that make a target serve the wanted models.
 *
 * @param served - models that the target serves
 * @param wanted - models of the service in the tree
 * @returns orders, loads before unloads; none when the models agree
 */
export const planOrders = (
  served: readonly string[],
  wanted: readonly string[],
): PlannedOrder[] => {
  const missing = wanted.filter((model) => !served.includes(model));
  const surplus = served.filter((model) => !wanted.includes(model));
  return [
    ...missing.map((model) => ({ model, action: 'load' as const })),
    ...surplus.map((model) => ({ model, action: 'unload' as const })),
  ];
};
