/** Tokens that the parts of an entry host are registered under. */
import type { InjectionToken } from 'tsyringe';

/** Tokens of what the parts are wired from; each is registered with the interface beside it. */
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
  /** `PeerCalls` */
  peerCalls: Symbol('peerCalls'),
  /** undici `Agent` for control messages */
  peerConnections: Symbol('peers'),
  /** `Random` */
  random: Symbol('random'),
  /** `Endpoint<CallerHandler>[]` beyond the online path */
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
