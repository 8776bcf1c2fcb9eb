/** Orders the services of a route for one request or batch item. */
import type { WeightedService } from '../configuration/ServingConfiguration.js';

/**
 * Draws the services of a route one after the other, each with a probability in proportion to its weight. The first one
 * gets its share of the traffic; the others are used while the ones before them can't run a request. A service without a
 * weight gets no traffic, unless no service of the route has one.
 *
 * @param services - services of the route
 * @param random - returns a random number in [0, 1)
 * @returns names of the services, the preferred one first
 */
export const orderServices = (
  services: readonly WeightedService[],
  random: () => number,
): string[] => {
  const weighted = services.filter(({ weight }) => weight > 0);
  const drawable =
    weighted.length > 0 ? weighted : services.map(({ service }) => ({ service, weight: 1 }));
  // The time to the first event of a Poisson process whose rate is the weight.
  return drawable
    .map(({ service, weight }) => ({ service, drawn: -Math.log(1 - random()) / weight }))
    .sort((a, b) => a.drawn - b.drawn)
    .map(({ service }) => service);
};
