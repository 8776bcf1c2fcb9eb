/** Fake configuration follower whose configuration is edited by scenarios. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import {
  hashKey,
  resolveConfiguration,
  type ResolvedConfiguration,
} from '@jacinthlug/settings/tree/ResolvedConfiguration';
import {
  configurationContent,
  type ConfigurationContent,
} from '@jacinthlug/settings/tree/configuration';
import { err, ok, type Result } from 'neverthrow';

const notServed = () => Promise.reject(new Error('not served by the fake'));

/** Configuration that is edited by scenarios. */
export class FakeFollower {
  isIsolated = false;

  private resolved: ResolvedConfiguration;

  constructor(private content: ConfigurationContent) {
    this.resolved = resolveConfiguration({ version: 1, content });
  }

  /** Edits the content and increments the version. */
  edit(change: (content: ConfigurationContent) => void): void {
    const content = structuredClone(this.content);
    change(content);
    this.content = configurationContent.parse(content);
    this.resolved = resolveConfiguration({
      version: this.resolved.version + 1,
      content: this.content,
    });
  }

  grant(id: string, secret: string, account: string): void {
    this.edit(({ keys }) => {
      Object.assign(keys, {
        [id]: { account, sha256: hashKey(secret), state: 'granted', changedAt: 0 },
      });
    });
  }

  withdraw(id: string): void {
    this.edit(({ keys }) => {
      Object.assign(keys[id] ?? {}, { state: 'withdrawn' });
    });
  }

  asFollower(): ConfigurationFollower {
    return {
      mode: () => (this.isIsolated ? 'isolated' : 'confirmed'),
      inForce: (): Result<ResolvedConfiguration, Refusal> =>
        this.isIsolated ? err(refuse('configuration-unconfirmed')) : ok(this.resolved),
      latest: () => this.resolved,
      mayAcceptEdits: () => true,
      adopt: () => undefined,
      handleWatch: notServed,
      onAdopt: () => () => undefined,
      start: () => Promise.resolve(),
      stop: () => Promise.resolve(),
    };
  }
}
