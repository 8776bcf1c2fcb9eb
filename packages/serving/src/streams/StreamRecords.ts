/** Keeps the versions of open streams in the store, so that a loss of all hosts doesn't lose them. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import { systemClock } from '@jacinthlug/control/time/Clock';
import * as z from 'zod';
import type { HostIdentity } from '../fleet/HostIdentity.js';
import { parseJson } from '../store/parseJson.js';
import type { RecordStore, StoredRecord } from '../store/RecordStore.js';
import { SharedRead } from '../store/SharedRead.js';
import type { StreamRetention } from './StreamRetention.js';
import type { StreamVersions } from './StreamVersions.js';
import type { VersionHistory } from './VersionHistory.js';

/** Table with one row for each host, which holds its open streams. */
const STREAMS_TABLE = 'streams';

/** Partition of all rows, so that one call reads them. */
const STREAMS_PARTITION = 'streams';

/** Minimum time between two writes of a host. Unit: ms. */
const MIN_WRITE_INTERVAL_MS = 100;

/** Minimum time between two writes of a host per host of the fleet: 100 writes a second in all. Unit: ms. */
const WRITE_INTERVAL_PER_HOST_MS = 10;

/** Delay after a failed read at the start. Unit: ms. */
const READ_RETRY_DELAY_MS = 250;

/** Delay after a failed write. Unit: ms. */
const WRITE_RETRY_DELAY_MS = 1000;

/** Maximum number of streams in a row, which holds at most 65,536 bytes before base64. */
const MAX_STREAMS_PER_ROW = 1000;

const streamsRow = z.object({
  /** Store time of the write. Unit: ms. */
  writtenAt: z.number(),
  /** Versions in service, by service. */
  versions: z.record(z.string(), z.array(z.string())),
  /** Store times until which other versions were in service, by service and version. Unit: ms. */
  former: z.record(z.string(), z.record(z.string(), z.number())).default({}),
  /** Key and version of each open stream. */
  streams: z.array(z.tuple([z.string(), z.string()])),
});

type StreamsRow = z.infer<typeof streamsRow>;

const mapTimes = (
  times: StreamsRow['former'],
  convert: (time: number) => number,
): StreamsRow['former'] =>
  Object.fromEntries(
    Object.entries(times).map(([service, versions]) => [
      service,
      Object.fromEntries(
        Object.entries(versions).map(([version, time]) => [version, convert(time)]),
      ),
    ]),
  );

/** Dependencies of {@link StreamRecords}. */
export interface StreamRecordsDependencies {
  readonly identity: Pick<HostIdentity, 'name'>;
  readonly store: RecordStore;
  readonly streamVersions: StreamVersions;
  readonly versionHistory: VersionHistory;
  readonly retention: Pick<StreamRetention, 'ms'>;
  /** Returns the number of hosts in the fleet. */
  readonly countHosts: () => number;
  readonly journal: Pick<Journal, 'record'>;
}

/** Reads and writes the rows of open streams. */
export class StreamRecords {
  private isRunning = false;

  private isLoaded = false;

  private readonly sharedRead = new SharedRead(() => this.read());

  private writeTimer: NodeJS.Timeout | undefined;

  /** Monotonic time before which nothing is written. Unit: ms. */
  private nextWriteAt = 0;

  /** Whether the row of this host is outdated. */
  private isOutdated = true;

  constructor(private readonly dependencies: StreamRecordsDependencies) {
    const { streamVersions, versionHistory } = dependencies;
    versionHistory.onChange(() => this.markOutdated());
    // While only one version serves, it has begun every stream.
    streamVersions.onChange(() => {
      if (versionHistory.isMixed()) this.markOutdated();
    });
  }

  /** Reads the rows of all hosts, until this succeeds once. Nothing is written before. */
  async start(): Promise<void> {
    this.isRunning = true;
    while (this.isRunning && !(await this.refresh())) await systemClock.sleep(READ_RETRY_DELAY_MS);
  }

  /** Stops writing. The row stays, as callers may take its streams up again. */
  stop(): void {
    this.isRunning = false;
    clearTimeout(this.writeTimer);
  }

  /**
   * Reads the rows of all hosts as of now or later.
   *
   * @returns whether the store has responded
   */
  refresh(): Promise<boolean> {
    return this.sharedRead.run();
  }

  private async read(): Promise<boolean> {
    const sentAt = performance.now();
    const range = { table: STREAMS_TABLE, partition: STREAMS_PARTITION };
    const page = await this.dependencies.store.read(range);
    if (page.isErr()) return false;
    page.value.records.forEach((record) => this.applyRecord(record, sentAt));
    if (!this.isLoaded) {
      this.isLoaded = true;
      this.scheduleWrite();
    }
    return true;
  }

  private applyRecord({ key, value }: StoredRecord, now: number): void {
    const { identity, store, streamVersions, versionHistory, journal } = this.dependencies;
    const row = streamsRow.safeParse(parseJson(value)).data;
    const storeNow = store.now();
    if (!row || storeNow === undefined) {
      journal.record('record-unreadable', { table: STREAMS_TABLE, key });
      return;
    }
    const toMonotonic = (storeTime: number): number => now + storeTime - storeNow;
    const writtenAt = toMonotonic(row.writtenAt);
    // A process that starts can't know how long the versions of a row were in service after it was written.
    versionHistory.learn(row.versions, this.isLoaded ? writtenAt : now);
    Object.entries(row.former).forEach(([service, versions]) =>
      Object.entries(versions).forEach(([version, seenAt]) =>
        versionHistory.learn({ [service]: [version] }, toMonotonic(seenAt)),
      ),
    );
    if (this.isLoaded && now - writtenAt > this.dependencies.retention.ms) return;
    if (key !== identity.name) streamVersions.learn(row.streams, { kind: 'row', host: key }, now);
    else if (!this.isLoaded) streamVersions.adopt(row.streams, now);
  }

  private markOutdated(): void {
    this.isOutdated = true;
    this.scheduleWrite();
  }

  private scheduleWrite(): void {
    if (!this.isOutdated || !this.isRunning || !this.isLoaded || this.writeTimer) return;
    const delayMs = Math.max(0, this.nextWriteAt - performance.now());
    this.writeTimer = setTimeout(() => {
      void this.write().finally(() => {
        this.writeTimer = undefined;
        this.scheduleWrite();
      });
    }, delayMs);
  }

  private async write(): Promise<void> {
    const { identity, store, journal } = this.dependencies;
    const row = this.createRow();
    if (!row) return;
    this.isOutdated = false;
    const saved = await store.commit({
      conditions: [],
      writes: [
        {
          table: STREAMS_TABLE,
          partition: STREAMS_PARTITION,
          key: identity.name,
          value: Buffer.from(JSON.stringify(row)),
        },
      ],
    });
    this.nextWriteAt = performance.now() + this.getWriteIntervalMs();
    if (saved.isOk()) return;
    this.isOutdated = true;
    this.nextWriteAt = performance.now() + WRITE_RETRY_DELAY_MS;
    journal.record('streams-unsaved', { kind: saved.error.kind, streams: row.streams.length });
  }

  private getWriteIntervalMs(): number {
    return Math.max(
      MIN_WRITE_INTERVAL_MS,
      this.dependencies.countHosts() * WRITE_INTERVAL_PER_HOST_MS,
    );
  }

  private createRow(): StreamsRow | undefined {
    const { store, streamVersions, versionHistory } = this.dependencies;
    const storeNow = store.now();
    if (storeNow === undefined) return undefined;
    const streams = streamVersions.listOpen().slice(-MAX_STREAMS_PER_ROW);
    const now = performance.now();
    const toStoreTime = (time: number): number => Math.round(storeNow + time - now);
    return {
      writtenAt: Math.round(storeNow),
      versions: versionHistory.current,
      former: mapTimes(versionHistory.listFormer(now), toStoreTime),
      streams: streams.map(([key, version]) => [key, version]),
    };
  }
}
