/** Polls the host list of the platform while this process is a watcher. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { HostList } from '@jacinthlug/backing/HostList';
import type { Membership } from '../Membership.js';
import type { Clock } from '../time/Clock.js';

/** Minimum time between reads of the list. Unit: ms. */
const MIN_POLL_INTERVAL_MS = 2000;

/**
 * Time between reads for each member of the fleet. An entry of the list takes about 170 bytes, so the
 * reads take at most 17 KB/s in a fleet of any size. Unit: ms.
 */
const POLL_INTERVAL_PER_MEMBER_MS = 10;

/** Options of {@link pollHostList}. */
export interface PollHostListOptions {
  readonly hostList: HostList;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly journal: Journal;
  /** Checks whether this process currently reads the list itself. */
  isWatcher(): boolean;
  readonly signal: AbortSignal;
}

const readOnce = async ({ hostList, membership, journal }: PollHostListOptions): Promise<void> => {
  const list = await hostList.list();
  // The last list remains in use while the platform is down.
  if (list.isErr()) journal.record('host-list-unavailable', { message: list.error.message });
  else membership.update(list.value);
};

/**
 * Polls the host list until the signal is aborted.
 *
 * @param options - host list, and where to store it
 */
export const pollHostList = async (options: PollHostListOptions): Promise<void> => {
  while (!options.signal.aborted) {
    if (options.isWatcher()) await readOnce(options);
    const members = options.membership.all().length;
    await options.clock.sleep(
      Math.max(MIN_POLL_INTERVAL_MS, members * POLL_INTERVAL_PER_MEMBER_MS),
      options.signal,
    );
  }
};
