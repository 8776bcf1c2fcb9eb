/** Fake of the configuration follower. */
import { refuse } from '@jacinthlug/catalog/resultCodes';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import {
  resolveConfiguration,
  type ResolvedConfiguration,
} from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { configurationContent, type Configuration } from '@jacinthlug/settings/tree/configuration';
import type { InheritedSettings } from '@jacinthlug/settings/tree/declarations';
import { err, ok } from 'neverthrow';

const accounts = ['harbor', 'lantern'];

/** Returns the key id of an account in the fake configuration. */
export const getKeyId = (account: string): string => `key-${account}`;

/** Builds a configuration in which only the keys of the given accounts are granted. */
export const buildConfiguration = (
  version: number,
  granted: readonly string[],
  settings: Partial<InheritedSettings>,
  models: readonly string[],
): Configuration => ({
  version,
  content: configurationContent.parse({
    declarations: {
      nodes: {
        '': { kind: 'root', settings },
        ...Object.fromEntries(accounts.map((name) => [name, { kind: 'account' }])),
        engines: { kind: 'service', protocol: 'openai', models },
      },
    },
    keys: Object.fromEntries(
      accounts.map((account, index) => [
        getKeyId(account),
        {
          account,
          sha256: String(index).repeat(64),
          state: granted.includes(account) ? 'granted' : 'withdrawn',
          changedAt: 0,
        },
      ]),
    ),
  }),
});

/** Follower whose configuration is set by the test. */
export interface FakeFollower extends ConfigurationFollower {
  isConfirmed: boolean;
  /** Returns the number of adoption listeners. */
  listenerCount(): number;
}

/** Creates a follower without a configuration. */
export const createFakeFollower = (): FakeFollower => {
  let current: ResolvedConfiguration | undefined;
  const listeners = new Set<(adopted: ResolvedConfiguration) => void>();
  const follower: FakeFollower = {
    isConfirmed: true,
    listenerCount: () => listeners.size,
    mode: () => (follower.isConfirmed ? 'confirmed' : 'isolated'),
    inForce: () =>
      current && follower.isConfirmed ? ok(current) : err(refuse('configuration-unconfirmed')),
    latest: () => current,
    mayAcceptEdits: () => false,
    adopt(configuration) {
      const adopted = resolveConfiguration(configuration);
      current = adopted;
      listeners.forEach((listener) => listener(adopted));
    },
    handleWatch: () => Promise.reject(new Error('not served by the fake')),
    onAdopt(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    start: () => Promise.resolve(),
    stop: () => Promise.resolve(),
  };
  return follower;
};
