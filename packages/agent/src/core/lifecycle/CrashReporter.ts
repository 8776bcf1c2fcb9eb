/** Reports to an entry host the crashes that no response can report. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Membership } from '@jacinthlug/control/Membership';
import { callPeer, createControlClient } from '@jacinthlug/protocol/controlClient';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import type { Agent } from 'undici';
import type { Crash } from '../target/CrashDetector.js';

/** Timeout for one report to an entry host. Unit: ms. */
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
   * Logs a crash and reports it. Requests whose response reports the crash are recorded by the
   * entry host that receives the response. The others are reported to the first entry host that
   * accepts the report. Each request is reported once, so that one crash does not count as two.
   *
   * @param crash - the crash
   */
  async report({ id, fingerprints, unreported }: Crash): Promise<void> {
    const target = this.settings.target.name;
    this.journal.record('target-crashed', { target, crash: id, fingerprints });
    if (unreported.length === 0) return;
    const report = { target, fingerprints: [...unreported] };
    for (const { address } of this.listEntriesLocalFirst()) {
      const client = createControlClient(address, this.settings.fleetCredential, this.peers);
      const response = await callPeer(REQUEST_TIMEOUT_MS, (signal) =>
        client.suspects.add.mutate(report, { signal }),
      );
      if (response.isOk()) return;
    }
  }

  private listEntriesLocalFirst() {
    const { failureDomain } = this.settings;
    const isLocal = (member: { failureDomain: string }) => member.failureDomain === failureDomain;
    const entries = this.membership.liveEntries();
    return [...entries.filter(isLocal), ...entries.filter((member) => !isLocal(member))];
  }
}
