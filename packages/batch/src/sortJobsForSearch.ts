/** Decides in which order agents search queued jobs for a free chunk. */

/** Jobs due within the same span are searched in turn by account. Unit: ms. */
const DUE_BUCKET_MS = 3_600_000;

/** A queued job. */
export interface QueuedJob {
  readonly job: string;
  readonly account: string;
  /** Wall-clock time. Unit: ms since 1970. */
  readonly dueAt: number;
}

interface RankedJob {
  readonly job: string;
  readonly dueBucket: number;
  /** Jobs of the same account that are due earlier in the same span. */
  readonly accountRank: number;
  /** Spreads agents over accounts. */
  readonly tieBreaker: number;
}

/**
 * Orders jobs by due time, to the hour. Within an hour each account's first job comes before any
 * second one, in random order, so that an account with many or large jobs does not starve others.
 *
 * @param jobs - queued jobs, by due time
 * @param random - random numbers of [0, 1)
 * @returns job ids in the order of search
 */
export const sortJobsForSearch = (jobs: readonly QueuedJob[], random: () => number): string[] => {
  const counts = new Map<string, number>();
  const places = jobs.map(({ job, account, dueAt }): RankedJob => {
    const span = Math.floor(dueAt / DUE_BUCKET_MS);
    const counted = `${span} ${account}`;
    const earlier = counts.get(counted) ?? 0;
    counts.set(counted, earlier + 1);
    return { job, dueBucket: span, accountRank: earlier, tieBreaker: random() };
  });
  return places
    .sort(
      (left, right) =>
        left.dueBucket - right.dueBucket ||
        left.accountRank - right.accountRank ||
        left.tieBreaker - right.tieBreaker,
    )
    .map(({ job }) => job);
};
