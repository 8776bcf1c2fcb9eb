/** Fake suspect list in memory. */
import type { SuspectList } from '@jacinthlug/control/SuspectList';
import type { Suspect } from '@jacinthlug/protocol/messages';

/** Suspect list in memory. */
export class FakeSuspects implements SuspectList {
  readonly crashes = new Map<string, number>();

  find(fingerprint: string): Suspect | undefined {
    const crashes = this.crashes.get(fingerprint);
    return crashes === undefined ? undefined : { fingerprint, crashes, expiresAt: Infinity };
  }

  add({ fingerprints }: { fingerprints: readonly string[] }): Promise<void> {
    fingerprints.forEach((each) => this.crashes.set(each, (this.crashes.get(each) ?? 0) + 1));
    return Promise.resolve();
  }
}
