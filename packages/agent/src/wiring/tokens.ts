/** Injection tokens of the agent. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { Membership } from '@jacinthlug/control/Membership';
import type { Table } from '@jacinthlug/backing/Table';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import type { InjectionToken } from 'tsyringe';
import type { Agent as Connections } from 'undici';
import type { TargetSlots } from '../core/admission/TargetSlots.js';
import type { BatchWorker } from '../core/BatchWorker.js';
import type { InnerServer } from '../core/http/InnerServer.js';
import type { CrashReporter } from '../core/lifecycle/CrashReporter.js';
import type { LoadReporter } from '../core/lifecycle/LoadReporter.js';
import type { ServingState } from '../core/lifecycle/ServingState.js';
import type { Shutdown } from '../core/lifecycle/Shutdown.js';
import type { ForwardedRequestHandler } from '../core/online/ForwardedRequestHandler.js';
import type { RunningRequests } from '../core/online/RunningRequests.js';
import type { OrderReconciler } from '../core/orders/OrderReconciler.js';
import type { CrashDetector } from '../core/target/CrashDetector.js';
import type { ServedModels } from '../core/target/ServedModels.js';
import type { TargetClient } from '../core/target/TargetClient.js';
import type { TargetMonitor } from '../core/target/TargetMonitor.js';
import type { TargetAccess } from '../core/TargetAccess.js';

const token = <Part>(name: string): InjectionToken<Part> => Symbol(name);

/** Injection tokens of the agent. */
export const tokens = {
  settings: token<AgentSettings>('settings'),
  journal: token<Journal>('journal'),
  metrics: token<Metrics>('metrics'),
  follower: token<ConfigurationFollower>('follower'),
  membership: token<Membership>('membership'),
  table: token<Table>('table'),
  targetConnections: token<Connections>('targetConnections'),
  peerConnections: token<Connections>('peerConnections'),
  monitor: token<TargetMonitor>('monitor'),
  models: token<ServedModels>('models'),
  serving: token<ServingState>('serving'),
  slots: token<TargetSlots>('slots'),
  crashReporter: token<CrashReporter>('crashReporter'),
  crashWatch: token<CrashDetector>('crashWatch'),
  client: token<TargetClient>('client'),
  targetAccess: token<TargetAccess>('targetAccess'),
  batchWorker: token<BatchWorker>('batchWorker'),
  orders: token<OrderReconciler>('orders'),
  load: token<LoadReporter>('load'),
  running: token<RunningRequests>('running'),
  onlinePath: token<ForwardedRequestHandler>('onlinePath'),
  server: token<InnerServer>('server'),
  shutdown: token<Shutdown>('shutdown'),
} as const;
