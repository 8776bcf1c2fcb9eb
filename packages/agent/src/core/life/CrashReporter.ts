/** Reports crashes that no answer can tell of to an entry host. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Membership } from '@jacinthlug/control/Membership';
import { callPeer, openControlClient } from '@jacinthlug/protocol/controlClient';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import type { Agent } from 'undici';
import type { Crash } from '../target/CrashWatch.js';

const CALL_LIMIT_MS = 1000;

/** Reports crashes of the target. */
export class CrashReporter {
  constructor(
    private readonly settings: AgentSettings,
    private readonly membership: Membership,
    private readonly peers: Agent,
    private readonly journal: Journal,
  ) {}

  /**
   * Logs a crash; when no answer carries its fingerprints, reports them to the first entry host that
   * takes them. Only one is told, so that the crash counts once.
   *
   * @param crash - the crash
   */
  async report({ id, fingerprints, isUntold }: Crash): Promise<void> {
    const target = this.settings.target.name;
    this.journal.record('target-crashed', { target, crash: id, fingerprints });
    if (!isUntold || fingerprints.length === 0) return;
    const report = { target, fingerprints: [...fingerprints] };
    for (const { address } of this.entriesNearFirst()) {
      const client = openControlClient(address, this.settings.fleetCredential, this.peers);
      const answer = await callPeer(CALL_LIMIT_MS, (signal) =>
        client.suspects.add.mutate(report, { signal }),
      );
      if (answer.isOk()) return;
    }
  }

  private entriesNearFirst() {
    const { failureDomain } = this.settings;
    const isNear = (member: { failureDomain: string }) => member.failureDomain === failureDomain;
    const entries = this.membership.liveEntries();
    return [...entries.filter(isNear), ...entries.filter((member) => !isNear(member))];
  }
}
