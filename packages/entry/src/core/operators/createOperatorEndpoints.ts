/** The operators' interface under `/operator/v1`. */
import type { Endpoint, OperatorHandler } from '../http/Exchange.js';
import { createConfigurationEndpoints } from './configurationEndpoints.js';
import { createHostEndpoints } from './hostEndpoints.js';
import { createKeyEndpoints } from './keyEndpoints.js';
import type { OperatorDependencies } from './OperatorDependencies.js';

/**
 * Creates the endpoints of operators. The server has checked the operator credential before it calls
 * a handler, and has not read the body.
 *
 * @param deps - what the endpoints need
 * @returns the endpoints
 */
export const createOperatorEndpoints = (
  deps: OperatorDependencies,
): Endpoint<OperatorHandler>[] => [
  ...createConfigurationEndpoints(deps),
  ...createKeyEndpoints(deps),
  ...createHostEndpoints(deps),
];
