/** Tells operators where a request or batch item would go now, without sending it. */
import type { ConfigurationView } from '../configuration/ConfigurationView.js';
import type { TargetRouter } from '../routing/TargetRouter.js';
import type { TargetExplanation } from './explainChoice.js';
import type { RequestSize } from './RequestSize.js';

/** Where the requests of a route would go. */
export interface RouteExplanation {
  readonly route: string;
  readonly kind: string;
  readonly services: readonly {
    readonly service: string;
    readonly weight: number;
    readonly targets: readonly TargetExplanation[];
  }[];
}

/** A request as an operator describes it. */
export interface DescribedRequest {
  readonly host: string;
  readonly path: string;
  /** Undefined if its caller states none. */
  readonly size: RequestSize | undefined;
}

/** What decides where a request would go. */
export interface ExplanationSources {
  readonly view: ConfigurationView;
  readonly router: TargetRouter;
}

/**
 * Explains where a request would go.
 *
 * @param request - the request
 * @param sources - configuration and router of this host
 * @returns the explanation; undefined if no route has the request
 */
export const explainRoute = (
  { host, path, size }: DescribedRequest,
  { view, router }: ExplanationSources,
): RouteExplanation | undefined => {
  const route = view.index?.findRoute(host, path);
  return (
    route && {
      route: route.name,
      kind: route.kind,
      services: route.services.map(({ service, weight }) => ({
        service,
        weight,
        targets: router.explain(service, route.kind === 'batch' ? 'batch' : 'online', size),
      })),
    }
  );
};
