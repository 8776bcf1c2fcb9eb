/** Reports to an entry host the crashes that an answer cannot tell of. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Membership } from '@jacinthlug/control/Membership';
import { callPeer, createControlClient } from '@jacinthlug/protocol/controlClient';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import type { Agent } from 'undici';
import type { Crash } from '../target/CrashDetector.js';

const REQUEST_TIMEOUT_MS = 1000;

/** Reports crashes of the target. */
export class CrashReporter {
  constructor(
    private readonly settings: AgentSettings,
    private readonly membership: Membership,
    private readonly peers: Agent,
    private readonly journal: Journal,
  ) {}

  /**
   * Logs a crash. Requests that are answered with it are recorded by the entry hosts that get the
   * answers; the others are reported to the first entry host that takes them. Each request is told
   * once, so that one crash does not count as two.
   *
   * @param crash - the crash
   */
  async report({ id, fingerprints, unreported: untold }: Crash): Promise<void> {
    const target = this.settings.target.name;
    this.journal.record('target-crashed', { target, crash: id, fingerprints });
    if (untold.length === 0) return;
    const report = { target, fingerprints: [...untold] };
    for (const { address } of this.listEntriesLocalFirst()) {
      const client = createControlClient(address, this.settings.fleetCredential, this.peers);
      const answer = await callPeer(REQUEST_TIMEOUT_MS, (signal) =>
        client.suspects.add.mutate(report, { signal }),
      );
      if (answer.isOk()) return;
    }
  }

  private listEntriesLocalFirst() {
    const { failureDomain } = this.settings;
    const isNear = (member: { failureDomain: string }) => member.failureDomain === failureDomain;
    const entries = this.membership.liveEntries();
    return [...entries.filter(isNear), ...entries.filter((member) => !isNear(member))];
  }
}
