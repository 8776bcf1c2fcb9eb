/** The follower of the configuration of a process (design 5.1). */
import { refuse } from '@jacinthlug/catalog/resultCodes';
import { err, ok } from 'neverthrow';
import type { ConfigurationFollower } from '../ConfigurationFollower.js';
import { pollHostList } from '../membership/pollHostList.js';
import { createNotifier } from '../time/createNotifier.js';
import { createWatchHandler } from './createWatchHandler.js';
import { queryDomains, collectEvidence } from './queryDomains.js';
import { createHeldConfiguration } from './createHeldConfiguration.js';
import type { FollowerDependencies } from './FollowerDependencies.js';
import { followTree, isWatcher } from './followTree.js';

/** The follower with what edits and home leases need. */
export interface Follower extends ConfigurationFollower {
  /** Asks one process of each failure domain, so that `mayAcceptEdits` has recent evidence. */
  queryDomains(): Promise<void>;
}

/** Time between looks at the mode while a process starts. Unit: ms. */
const START_POLL_INTERVAL_MS = 100;

/**
 * Creates the follower of a process.
 *
 * @param parts - table, peers, members and time
 * @returns the follower, not started
 */
export const createFollower = (parts: FollowerDependencies): Follower => {
  const { clock, hostList, journal, membership, suspects } = parts;
  const held = createHeldConfiguration(parts);
  const news = createNotifier(clock);
  const stopping = new AbortController();
  const answer = createWatchHandler(parts, held, news, stopping.signal);
  let tasks: Promise<unknown>[] = [];
  held.onAdopt(() => news.notify());
  membership.onChange(() => news.notify());
  suspects.onChange(() => news.notify());
  const isServing = (): boolean => ['confirmed', 'outage'].includes(held.mode());
  const startTasks = (): void => {
    const { signal } = stopping;
    tasks = [
      followTree(parts, held, signal),
      collectEvidence(parts, held, signal),
      pollHostList({
        hostList,
        membership,
        clock,
        journal,
        isWatcher: () => isWatcher(parts),
        signal,
      }),
    ];
  };
  return {
    mode: () => held.mode(),
    inForce() {
      const catalogue = held.resolved();
      return catalogue && isServing() ? ok(catalogue) : err(refuse('configuration-unconfirmed'));
    },
    latest: () => held.resolved(),
    mayAcceptEdits: () => held.allowsEdits(),
    queryDomains: () => queryDomains(parts, held),
    adopt(configuration) {
      held.adopt(configuration);
      // The asked processes learn of the version at once and ask back, even when the table fails now.
      void queryDomains(parts, held);
    },
    handleWatch: answer,
    onAdopt: (listener) => held.onAdopt(listener),
    async start(signal) {
      startTasks();
      while (!isServing() && !signal.aborted && !stopping.signal.aborted) {
        await clock.sleep(START_POLL_INTERVAL_MS, signal);
      }
    },
    async stop() {
      stopping.abort();
      news.notify();
      await Promise.all(tasks);
    },
  };
};
