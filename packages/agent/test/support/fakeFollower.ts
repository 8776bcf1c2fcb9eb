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

/** Key of an account in the fake configuration. */
export const getKeyId = (account: string): string => `key-${account}`;

/** Builds a version in which the keys of the given accounts are granted, those of others withdrawn. */
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

/** Follower whose version a test sets. */
export interface FakeFollower extends ConfigurationFollower {
  isConfirmed: boolean;
  /** Number of listeners that wait for adoptions. */
  listenerCount(): number;
}

/** Creates a follower without a version. */
export const createFakeFollower = (): FakeFollower => {
  let catalogue: ResolvedConfiguration | undefined;
  const listeners = new Set<(adopted: ResolvedConfiguration) => void>();
  const follower: FakeFollower = {
    isConfirmed: true,
    listenerCount: () => listeners.size,
    mode: () => (follower.isConfirmed ? 'confirmed' : 'isolated'),
    inForce: () =>
      catalogue && follower.isConfirmed ? ok(catalogue) : err(refuse('configuration-unconfirmed')),
    latest: () => catalogue,
    mayAcceptEdits: () => false,
    adopt(configuration) {
      const adopted = resolveConfiguration(configuration);
      catalogue = adopted;
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
