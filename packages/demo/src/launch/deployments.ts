/** Deployments that the launcher can start. */

/** Size, names and routes of a deployment. */
export interface Deployment {
  readonly region: string;
  readonly failureDomains: readonly string[];
  readonly engineService: string;
  readonly plainService: string;
  readonly model: string;
  readonly engines: number;
  readonly services: number;
  readonly accounts: readonly string[];
  readonly routes: { readonly repeatable: string; readonly once: string; readonly open: string };
}

const laminasDefaults = {
  region: 'norte',
  failureDomains: ['bilbao', 'santander', 'oviedo'],
  engineService: 'asistente',
  plainService: 'agenda',
  model: 'asistente-1',
  routes: { repeatable: '/agenda/availability', once: '/agenda/visits', open: '/agenda/grades' },
} as const;

/** Deployments by name. Their declarations are in `deployments/<name>`. */
export const deployments = {
  small: {
    ...laminasDefaults,
    engines: 3,
    services: 2,
    accounts: ['web', 'whatsapp', 'surveyors'],
  },
  laminas: {
    ...laminasDefaults,
    engines: 8,
    services: 2,
    accounts: [
      'web',
      'whatsapp',
      'surveyors',
      'fitters',
      'showroom',
      'resellers',
      'support',
      'backoffice',
    ],
  },
  instituto: {
    region: 'continente',
    failureDomains: ['sala-lisboa', 'sala-setubal', 'sala-porto'],
    engineService: 'balcao-cabos',
    plainService: 'encomendas',
    model: 'balcao-1',
    engines: 8,
    services: 2,
    accounts: [
      'certificates',
      'harbour-lisboa',
      'harbour-setubal',
      'harbour-porto',
      'cooperative-norte',
      'cooperative-sul',
      'clerks',
      'quotes',
    ],
    routes: {
      repeatable: '/encomendas/stock',
      once: '/encomendas/orders',
      open: '/encomendas/catalogue',
    },
  },
} as const satisfies Record<string, Deployment>;

/** Name of a deployment. */
export type DeploymentName = keyof typeof deployments;
