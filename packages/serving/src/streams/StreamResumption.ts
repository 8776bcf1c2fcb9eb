/** Finds out at which version a stream can go on that its caller takes up again. */
import { systemClock } from '@jacinthlug/control/time/Clock';
import type { StreamRecords } from './StreamRecords.js';
import type { StreamVersions } from './StreamVersions.js';
import type { VersionHistory } from './VersionHistory.js';

/** Maximum time for the reads of the store. Unit: ms. */
const READ_TIMEOUT_MS = 300;

/** Time in which the host that began a stream reports or saves it, after which the store is read again. Unit: ms. */
const RECHECK_DELAY_MS = 150;

/** Waits for a read of the store; a late one counts as failed. */
const limitRead = (read: Promise<boolean>): Promise<boolean> =>
  Promise.race([read, systemClock.sleep(READ_TIMEOUT_MS).then(() => false)]);

/** Dependencies of {@link StreamResumption}. */
export interface StreamResumptionDependencies {
  readonly streamVersions: Pick<StreamVersions, 'find' | 'onLearned'>;
  readonly streamRecords: Pick<StreamRecords, 'refresh'>;
  readonly versionHistory: Pick<VersionHistory, 'listPossible' | 'isInService'>;
  /**
   * Reads the registered targets as of now or later, and updates {@link versionHistory}.
   *
   * @returns whether the store has responded
   */
  readonly refreshTargets: () => Promise<boolean>;
}

/** Determines versions of streams that began on any host. */
export class StreamResumption {
  constructor(private readonly dependencies: StreamResumptionDependencies) {}

  /**
   * Finds the version that began a stream.
   *
   * @param key - key of the stream
   * @param service - name of its service
   * @returns the version; undefined if several versions are possible, or this host can't tell
   */
  async findVersion(key: string, service: string): Promise<string | undefined> {
    const known =
      this.dependencies.streamVersions.find(key) ?? (await this.awaitVersion(key, service));
    if (known === undefined) return undefined;
    // Another host may have seen targets of this version that are new to this one.
    if (!this.dependencies.versionHistory.isInService(service, known))
      await limitRead(this.dependencies.refreshTargets());
    return known;
  }

  /** Waits until another host reports the version, or the store shows it or that nobody knows it. */
  private async awaitVersion(key: string, service: string): Promise<string | undefined> {
    let stopListening = (): void => undefined;
    const reported = new Promise<string>((resolve) => {
      stopListening = this.dependencies.streamVersions.onLearned(key, resolve);
    });
    const read = this.readVersion(key, service).then(
      (version) => version ?? this.recheck(key, service),
    );
    return Promise.race([reported, read]).finally(stopListening);
  }

  /**
   * Reads the rows of open streams and the registered targets. A target is registered before a stream begins on it, so
   * that targets which are read after the caller has asked show all versions in service. The rows don't: a host may not
   * have written its row yet.
   */
  private async readVersion(key: string, service: string): Promise<string | undefined> {
    const { streamVersions, streamRecords, versionHistory, refreshTargets } = this.dependencies;
    const isCurrent = await limitRead(
      Promise.all([streamRecords.refresh(), refreshTargets()]).then((results) =>
        results.every(Boolean),
      ),
    );
    const known = streamVersions.find(key);
    if (known !== undefined || !isCurrent) return known;
    const possible = versionHistory.listPossible(service);
    return possible.length === 1 ? possible[0] : undefined;
  }

  private async recheck(key: string, service: string): Promise<string | undefined> {
    await systemClock.sleep(RECHECK_DELAY_MS);
    return this.readVersion(key, service);
  }
}
