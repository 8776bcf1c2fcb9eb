/** Targets none of which is cold. */
import type { TargetRouterDependencies } from '@jacinthlug/serving/routing/TargetRouter';

export const noColdTargets: TargetRouterDependencies['coldTargets'] = {
  isCold: () => false,
  mayReceive: () => true,
  recordSend: () => undefined,
  recordDeferral: () => undefined,
};
