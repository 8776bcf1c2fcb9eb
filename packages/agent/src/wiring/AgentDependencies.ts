/** Parts of the agent that other packages implement. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { Membership } from '@jacinthlug/control/Membership';
import type { Table } from '@jacinthlug/backing/Table';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import type { Agent as Connections } from 'undici';
import type { BatchWorker } from '../core/BatchWorker.js';
import type { TargetAccess } from '../core/TargetAccess.js';

/** What the constructors of collaborators may use. */
export interface DependencyContext {
  readonly settings: AgentSettings;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** Connections to peers. */
  readonly peers: Connections;
}

/** Parts of the agent that other packages implement. */
export interface AgentDependencies {
  readonly follower: ConfigurationFollower;
  readonly membership: Membership;
  readonly table: Table;
  /**
   * Builds the batch worker.
   *
   * @param target - access to the target below online requests
   * @returns the worker, not started
   */
  createBatchWorker(target: TargetAccess): BatchWorker;
  /** Closes the connections to the platform. */
  close(): Promise<void>;
}
