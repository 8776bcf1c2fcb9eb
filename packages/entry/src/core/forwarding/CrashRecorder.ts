/** Records crashes of targets once, whoever reports them. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { SuspectList } from '@jacinthlug/control/SuspectList';
import type { CrashReport } from '@jacinthlug/protocol/messages';

/**
 * Time within which reports of the same request and target count as the same crash: the agent reports a
 * crash to its peers and in the answer to each request. Unit: ms.
 */
const SAME_CRASH_MS = 5000;

/** Passes crashes on to the suspect list once. */
export class CrashRecorder {
  private readonly recent = new Map<string, number>();

  constructor(
    private readonly suspects: SuspectList,
    private readonly journal: Journal,
    private readonly now: () => number = () => performance.now(),
  ) {}

  /**
   * Records a crash.
   *
   * @param report - target and the requests that were running
   * @returns when the suspect list knows it
   */
  async record({ target, fingerprints }: CrashReport): Promise<void> {
    const now = this.now();
    this.forgetOld(now);
    const fresh = fingerprints.filter((each) => !this.recent.has(`${target}\n${each}`));
    if (fresh.length === 0) return;
    fresh.forEach((each) => this.recent.set(`${target}\n${each}`, now));
    this.journal.record('suspect-added', { target, fingerprints: fresh });
    await this.suspects.add({ target, fingerprints: fresh });
  }

  private forgetOld(now: number): void {
    this.recent.forEach((at, key) => {
      if (now - at > SAME_CRASH_MS) this.recent.delete(key);
    });
  }
}
