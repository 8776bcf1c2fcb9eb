/** Dependencies of the file and batch endpoints. */
import type { Clock } from '@jacinthlug/batch/Clock';
import type { FileStore } from '@jacinthlug/batch/FileStore';
import type { JobStore } from '@jacinthlug/batch/JobStore';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { ObjectStore } from '@jacinthlug/backing/ObjectStore';
import type { CancelNotice } from '@jacinthlug/protocol/messages';

/** Dependencies of the file and batch endpoints. */
export interface BatchDependencies {
  readonly jobs: JobStore;
  readonly files: FileStore;
  readonly objects: ObjectStore;
  readonly clock: Clock;
  readonly journal: Journal;

  /**
   * Notifies agents that a job was cancelled. The call is not awaited and must not reject. A lost
   * notice is harmless, since agents also read the job row.
   *
   * @param notice - the cancelled job
   * @param addresses - inner addresses of the agents that hold chunks of the job
   */
  readonly notifyCancelled: (notice: CancelNotice, addresses: readonly string[]) => void;
}
