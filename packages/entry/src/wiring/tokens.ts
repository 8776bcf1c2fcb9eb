/** Injection tokens of the components of an entry host. */
import type { InjectionToken } from 'tsyringe';

/** Injection tokens. A comment names the registered type; the online path registers those without a comment. */
export const tokens = {
  /** `EntrySettings` */
  settings: Symbol('settings'),
  /** `Journal` */
  journal: Symbol('journal'),
  /** `Metrics` */
  metrics: Symbol('metrics'),
  /** `Table` */
  table: Symbol('table'),
  /** `ConfigurationFollower` */
  follower: Symbol('follower'),
  /** `Membership` */
  membership: Symbol('membership'),
  /** `RateShares` */
  rates: Symbol('rates'),
  /** `SuspectList` */
  suspects: Symbol('suspects'),
  /** `ObjectStore` */
  objects: Symbol('objects'),
  /** `PeerClient` */
  peerClient: Symbol('peerCalls'),
  /** undici `Agent` that sends control messages */
  peerConnections: Symbol('peers'),
  /** `Random` */
  random: Symbol('random'),
  /** `Endpoint<CallerHandler>[]` other than those of the online path */
  callerEndpoints: Symbol('callerEndpoints'),
  /** `Endpoint<OperatorHandler>[]` */
  operatorEndpoints: Symbol('operatorEndpoints'),
  /** `Closable[]` */
  closables: Symbol('closables'),
  lifecycle: Symbol('lifecycle'),
  backgroundWrites: Symbol('background'),
  claims: Symbol('claims'),
  agents: Symbol('agents'),
  dataPath: Symbol('dataPath'),
  crashRecorder: Symbol('crashes'),
  forwarder: Symbol('forwarder'),
  runner: Symbol('runner'),
  routes: Symbol('routes'),
  innerServer: Symbol('innerServer'),
  outerServer: Symbol('outerServer'),
  process: Symbol('process'),
} as const satisfies Record<string, InjectionToken>;
