/** Follows the configuration in a process (design 5.1). */
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

/** The follower, with the query that edits and home leases need. */
export interface Follower extends ConfigurationFollower {
  /** Queries one process of each failure domain, so that `mayAcceptEdits` has recent evidence. */
  queryDomains(): Promise<void>;
}

/** Time between checks of the mode while a process starts. Unit: ms. */
const START_POLL_INTERVAL_MS = 100;

/**
 * Creates the follower of a process.
 *
 * @param dependencies - table, peers, members and clock
 * @returns the follower, not started
 */
export const createFollower = (dependencies: FollowerDependencies): Follower => {
  const { clock, hostList, journal, membership, suspects } = dependencies;
  const held = createHeldConfiguration(dependencies);
  const changes = createNotifier(clock);
  const stopping = new AbortController();
  const handleWatch = createWatchHandler(dependencies, held, changes, stopping.signal);
  let tasks: Promise<unknown>[] = [];
  held.onAdopt(() => changes.notify());
  membership.onChange(() => changes.notify());
  suspects.onChange(() => changes.notify());
  const isServing = (): boolean => ['confirmed', 'outage'].includes(held.mode());
  const startTasks = (): void => {
    const { signal } = stopping;
    tasks = [
      followTree(dependencies, held, signal),
      collectEvidence(dependencies, held, signal),
      pollHostList({
        hostList,
        membership,
        clock,
        journal,
        isWatcher: () => isWatcher(dependencies),
        signal,
      }),
    ];
  };
  return {
    mode: () => held.mode(),
    inForce() {
      const resolved = held.resolved();
      return resolved && isServing() ? ok(resolved) : err(refuse('configuration-unconfirmed'));
    },
    latest: () => held.resolved(),
    mayAcceptEdits: () => held.allowsEdits(),
    queryDomains: () => queryDomains(dependencies, held),
    adopt(configuration) {
      held.adopt(configuration);
      // The queried processes learn of the version at once and fetch it, even if the table fails now.
      void queryDomains(dependencies, held);
    },
    handleWatch,
    onAdopt: (listener) => held.onAdopt(listener),
    async start(signal) {
      startTasks();
      while (!isServing() && !signal.aborted && !stopping.signal.aborted) {
        await clock.sleep(START_POLL_INTERVAL_MS, signal);
      }
    },
    async stop() {
      stopping.abort();
      changes.notify();
      await Promise.all(tasks);
    },
  };
};
