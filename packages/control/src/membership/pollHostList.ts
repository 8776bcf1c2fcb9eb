/** Reads the platform's host list while this process is a watcher. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { HostList } from '@jacinthlug/backing/HostList';
import type { Membership } from '../Membership.js';
import type { Clock } from '../time/Clock.js';

/** Time between reads in a small fleet. Unit: ms. */
const MIN_POLL_INTERVAL_MS = 2000;

/**
 * Time between reads for each member. An entry of the list takes about 170 bytes, so that a read
 * costs at most 17 KB/s in a fleet of any size.
 */
const POLL_INTERVAL_PER_MEMBER_MS = 10;

/** What the poll needs. */
export interface PollHostListOptions {
  readonly hostList: HostList;
  readonly membership: Membership;
  readonly clock: Clock;
  readonly journal: Journal;
  /** Whether this process reads the list itself now. */
  isWatcher(): boolean;
  readonly signal: AbortSignal;
}

const readOnce = async ({ hostList, membership, journal }: PollHostListOptions): Promise<void> => {
  const list = await hostList.list();
  // The last list stays in use while the platform is down.
  if (list.isErr()) journal.record('host-list-unavailable', { message: list.error.message });
  else membership.update(list.value);
};

/**
 * Reads the host list until the signal is aborted.
 *
 * @param poll - what to read and where to keep it
 */
export const pollHostList = async (poll: PollHostListOptions): Promise<void> => {
  while (!poll.signal.aborted) {
    if (poll.isWatcher()) await readOnce(poll);
    const members = poll.membership.all().length;
    await poll.clock.sleep(
      Math.max(MIN_POLL_INTERVAL_MS, members * POLL_INTERVAL_PER_MEMBER_MS),
      poll.signal,
    );
  }
};
