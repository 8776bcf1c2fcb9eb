/** Dependencies of the run of a chunk. */
import type { ChunkStore } from '@jacinthlug/batch/ChunkStore';
import type { Clock } from '@jacinthlug/batch/Clock';
import type { JobStore } from '@jacinthlug/batch/JobStore';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { TargetAccess } from '../TargetAccess.js';

/** Dependencies of the run of a chunk. */
export interface ChunkDependencies {
  readonly target: TargetAccess;
  readonly chunks: ChunkStore;
  readonly jobs: JobStore;
  readonly clock: Clock;
  readonly journal: Journal;
  readonly metrics: Metrics;
}
