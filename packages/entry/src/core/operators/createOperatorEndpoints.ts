/** Operator endpoints under `/operator/v1`. */
import type { Endpoint, OperatorHandler } from '../http/Exchange.js';
import { createConfigurationEndpoints } from './configurationEndpoints.js';
import { createHostEndpoints } from './hostEndpoints.js';
import { createKeyEndpoints } from './keyEndpoints.js';
import type { OperatorDependencies } from './OperatorDependencies.js';

/**
 * Creates the operator endpoints. The server must check the operator credential before it calls a handler,
 * and must leave the body unread.
 *
 * @param dependencies - dependencies of the endpoints
 * @returns the endpoints
 */
export const createOperatorEndpoints = (
  dependencies: OperatorDependencies,
): Endpoint<OperatorHandler>[] => [
  ...createConfigurationEndpoints(dependencies),
  ...createKeyEndpoints(dependencies),
  ...createHostEndpoints(dependencies),
];
