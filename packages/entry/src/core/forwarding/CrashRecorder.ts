/** Records crashes of targets in the suspect list, each request once for each crash. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Membership } from '@jacinthlug/control/Membership';
import type { SuspectList } from '@jacinthlug/control/SuspectList';
import type { CrashReport, SuspectNotice } from '@jacinthlug/protocol/messages';
import { rendezvousWeight } from '../routing/selectAgentSubset.js';
import type { Crash } from './AttemptOutcome.js';

/**
 * Time in which another entry host records the crash of its own request and the list spreads. Entry hosts
 * look one after the other for requests that nobody recorded, this far apart. Unit: ms.
 */
const UNRECORDED_CHECK_INTERVAL_MS = 3000;

/** Time for which the suspect list keeps a record. Unit: ms. */
const RECORD_RETENTION_MS = 3_600_000;

/** A record of at most this age counts as that of the same crash. Unit: ms. */
const SAME_CRASH_MAX_AGE_MS = 15_000;

/** Crashes that are remembered, so that several answers about one crash count once. */
const MAX_SEEN_KEYS = 1000;

/** What the recorder needs. */
export interface CrashRecorderDependencies {
  /** Name of this entry host. */
  readonly name: string;
  readonly membership: Membership;
  readonly suspects: SuspectList;
  readonly journal: Journal;
  /** Tells the other entry hosts; resolves when all answered or a short limit passed. */
  readonly notifyEntries: (notice: SuspectNotice) => Promise<void>;
  /** Runs a task after a time in ms. */
  readonly schedule: (task: () => void, delayMs: number) => void;
}

/** Records crashes of targets. */
export class CrashRecorder {
  private readonly seenKeys = new Set<string>();

  constructor(private readonly dependencies: CrashRecorderDependencies) {}

  /**
   * Records the crash that an answer told of. The request of the answer is recorded at once; only this host
   * got that answer. Of the other requests in the target some have no answer, as their streams had begun:
   * those are recorded later, by the first host that finds them unrecorded.
   *
   * @param crash - the crash
   * @param own - fingerprint of the request that was answered
   */
  async recordFromResponse(crash: Crash, own: string): Promise<void> {
    await this.recordOnce(crash, [own]);
    const others = crash.fingerprints.filter((each) => each !== own);
    if (others.length === 0 || !this.markSeen(crash.id)) return;
    const look = () => {
      void this.recordUnrecorded(crash, others);
    };
    this.dependencies.schedule(look, UNRECORDED_CHECK_INTERVAL_MS * (1 + this.getRank(crash)));
  }

  /**
   * Records a crash that no answer told of. An agent reports it to one entry host only.
   *
   * @param report - target and requests
   */
  async recordReport({ target, fingerprints }: CrashReport): Promise<void> {
    if (fingerprints.length === 0) return;
    this.dependencies.journal.record('suspect-added', { target, fingerprints });
    // The list holds the records once `add` has been called; the write to the table may take longer.
    const written = this.dependencies.suspects.add({ target, fingerprints });
    const suspects = fingerprints.flatMap((each) => this.dependencies.suspects.find(each) ?? []);
    // The caller may send the request again through another entry host as soon as it has its answer;
    // the next watch of that host would come too late.
    await Promise.all([written, this.dependencies.notifyEntries({ suspects })]);
  }

  private async recordOnce(crash: Crash, fingerprints: readonly string[]): Promise<void> {
    const fresh = fingerprints.filter((each) => this.markSeen(`${crash.id} ${each}`));
    await this.recordReport({ target: crash.target, fingerprints: fresh });
  }

  private async recordUnrecorded(crash: Crash, fingerprints: readonly string[]): Promise<void> {
    const recordedSince = Date.now() + RECORD_RETENTION_MS - SAME_CRASH_MAX_AGE_MS;
    const forgotten = fingerprints.filter(
      (each) => (this.dependencies.suspects.find(each)?.expiresAt ?? 0) < recordedSince,
    );
    await this.recordOnce(crash, forgotten);
  }

  /** Gives the turn of this host among the entry hosts; it differs from crash to crash. */
  private getRank({ id }: Crash): number {
    const own = rendezvousWeight(this.dependencies.name, id);
    const others = this.dependencies.membership.liveEntries().map(({ name }) => name);
    return others.filter((name) => rendezvousWeight(name, id) > own).length;
  }

  /** Remembers a text; tells whether it was new. */
  private markSeen(text: string): boolean {
    if (this.seenKeys.has(text)) return false;
    this.seenKeys.add(text);
    const [oldest] = this.seenKeys;
    if (this.seenKeys.size > MAX_SEEN_KEYS && oldest !== undefined) {
      this.seenKeys.delete(oldest);
    }
    return true;
  }
}
