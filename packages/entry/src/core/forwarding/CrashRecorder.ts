/** Records crashes of targets in the suspect list. Each request is recorded once per crash. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Membership } from '@jacinthlug/control/Membership';
import type { SuspectList } from '@jacinthlug/control/SuspectList';
import type { CrashReport, SuspectNotice } from '@jacinthlug/protocol/messages';
import { rendezvousWeight } from '../routing/selectAgentSubset.js';
import type { Crash } from './AttemptOutcome.js';

/**
 * Interval between the checks in which entry hosts, one after the other, look for requests of a crash that no
 * host has recorded. Long enough for each host to record its own request and for the suspect list to reach
 * the other hosts. Unit: ms.
 */
const UNRECORDED_CHECK_INTERVAL_MS = 3000;

/** Time for which the suspect list retains a record. Unit: ms. */
const RECORD_RETENTION_MS = 3_600_000;

/** Maximum age of a record that is attributed to the same crash. Unit: ms. */
const SAME_CRASH_MAX_AGE_MS = 15_000;

/** Maximum number of remembered keys. They ensure that several responses about one crash count once. */
const MAX_SEEN_KEYS = 1000;

/** Dependencies of {@link CrashRecorder}. */
export interface CrashRecorderDependencies {
  /** Name of this entry host. */
  readonly name: string;
  readonly membership: Membership;
  readonly suspects: SuspectList;
  readonly journal: Journal;
  /** Notifies the other entry hosts; resolves when all have responded or after a short timeout. */
  readonly notifyEntries: (notice: SuspectNotice) => Promise<void>;
  /** Runs a task after a delay. Unit: ms. */
  readonly schedule: (task: () => void, delayMs: number) => void;
}

/** Records crashes of targets. */
export class CrashRecorder {
  private readonly seenKeys = new Set<string>();

  constructor(private readonly dependencies: CrashRecorderDependencies) {}

  /**
   * Records a crash that was reported in a response. The request of that response is recorded immediately,
   * because only this host received the response. Other requests in the target may never get a response that
   * reports the crash, because their streams had already started. The first host that finds them unrecorded
   * records them later.
   *
   * @param crash - the crash
   * @param own - fingerprint of the request whose response reported the crash
   */
  async recordFromResponse(crash: Crash, own: string): Promise<void> {
    await this.recordOnce(crash, [own]);
    const others = crash.fingerprints.filter((fingerprint) => fingerprint !== own);
    if (others.length === 0 || !this.markSeen(crash.id)) return;
    const check = () => {
      void this.recordUnrecorded(crash, others);
    };
    this.dependencies.schedule(check, UNRECORDED_CHECK_INTERVAL_MS * (1 + this.getRank(crash)));
  }

  /**
   * Records a crash that no response reported. An agent sends such a report to one entry host only.
   *
   * @param report - target and fingerprints of its requests
   */
  async recordReport({ target, fingerprints }: CrashReport): Promise<void> {
    if (fingerprints.length === 0) return;
    this.dependencies.journal.record('suspect-added', { target, fingerprints });
    // `add` updates the list synchronously; only the write to the table takes longer.
    const write = this.dependencies.suspects.add({ target, fingerprints });
    const suspects = fingerprints.flatMap(
      (fingerprint) => this.dependencies.suspects.find(fingerprint) ?? [],
    );
    // The caller may resend the request through another entry host as soon as it has its response, before
    // the next poll of that host would deliver the suspects.
    await Promise.all([write, this.dependencies.notifyEntries({ suspects })]);
  }

  private async recordOnce(crash: Crash, fingerprints: readonly string[]): Promise<void> {
    const unseen = fingerprints.filter((fingerprint) =>
      this.markSeen(`${crash.id} ${fingerprint}`),
    );
    await this.recordReport({ target: crash.target, fingerprints: unseen });
  }

  private async recordUnrecorded(crash: Crash, fingerprints: readonly string[]): Promise<void> {
    const recordedSince = Date.now() + RECORD_RETENTION_MS - SAME_CRASH_MAX_AGE_MS;
    const unrecorded = fingerprints.filter(
      (fingerprint) =>
        (this.dependencies.suspects.find(fingerprint)?.expiresAt ?? 0) < recordedSince,
    );
    await this.recordOnce(crash, unrecorded);
  }

  /** Returns the position of this host among the entry hosts, which is different for each crash. */
  private getRank({ id }: Crash): number {
    const own = rendezvousWeight(this.dependencies.name, id);
    const others = this.dependencies.membership.liveEntries().map(({ name }) => name);
    return others.filter((name) => rendezvousWeight(name, id) > own).length;
  }

  /** Remembers a key and returns whether it was new. */
  private markSeen(key: string): boolean {
    if (this.seenKeys.has(key)) return false;
    this.seenKeys.add(key);
    const [oldest] = this.seenKeys;
    if (this.seenKeys.size > MAX_SEEN_KEYS && oldest !== undefined) {
      this.seenKeys.delete(oldest);
    }
    return true;
  }
}
