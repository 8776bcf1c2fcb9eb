/** Compares the models of a target with those that the tree declares. */

/** Order to load or unload a model. */
export interface PlannedOrder {
  readonly model: string;
  readonly action: 'load' | 'unload';
}

/**
 * Plans the orders that make a target serve the desired models.
 *
 * @param served - models that the target serves
 * @param desired - models that the tree declares for the service
 * @returns the orders, loads before unloads; none when the models match
 */
export const planOrders = (
  served: readonly string[],
  desired: readonly string[],
): PlannedOrder[] => {
  const missing = desired.filter((model) => !served.includes(model));
  const surplus = served.filter((model) => !desired.includes(model));
  return [
    ...missing.map((model) => ({ model, action: 'load' as const })),
    ...surplus.map((model) => ({ model, action: 'unload' as const })),
  ];
};
