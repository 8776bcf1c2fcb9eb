/** Dependencies of the agent that other packages implement. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { Membership } from '@jacinthlug/control/Membership';
import type { Table } from '@jacinthlug/backing/Table';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import type { Agent as Connections } from 'undici';
import type { BatchWorker } from '../core/BatchWorker.js';
import type { TargetAccess } from '../core/TargetAccess.js';

/** Context from which the dependencies are created. */
export interface DependencyContext {
  readonly settings: AgentSettings;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** Connection pool for peers. */
  readonly peers: Connections;
}

/** Dependencies of the agent that other packages implement. */
export interface AgentDependencies {
  readonly follower: ConfigurationFollower;
  readonly membership: Membership;
  readonly table: Table;
  /**
   * Creates the batch worker.
   *
   * @param target - access to the target for batch requests
   * @returns the worker, not started
   */
  createBatchWorker(target: TargetAccess): BatchWorker;
  /** Closes the connections to the platform. */
  close(): Promise<void>;
}
