/** Decides in which order agents search queued jobs for a free chunk. */

/** Jobs due within the same span are ordered fairly by account. Unit: ms. */
const DUE_SPAN_MS = 3_600_000;

/** A queued job. */
export interface QueuedJob {
  readonly job: string;
  readonly account: string;
  /** Wall-clock time. Unit: ms since 1970. */
  readonly dueAt: number;
}

interface RankedJob {
  readonly job: string;
  readonly span: number;
  /** Jobs of the same account that are due earlier in the same span. */
  readonly accountRank: number;
  /** Random, so that agents are spread over accounts. */
  readonly tieBreaker: number;
}

/**
 * Sorts jobs by due time, to the hour. Within an hour each account's first job comes before any
 * second one, in random order, so that an account with many or large jobs does not starve others.
 *
 * @param jobs - queued jobs, sorted by due time
 * @param random - returns random numbers in [0, 1)
 * @returns job ids in the order of search
 */
export const sortJobsForSearch = (jobs: readonly QueuedJob[], random: () => number): string[] => {
  const counts = new Map<string, number>();
  const places = jobs.map(({ job, account, dueAt }): RankedJob => {
    const span = Math.floor(dueAt / DUE_SPAN_MS);
    const countKey = `${span} ${account}`;
    const accountRank = counts.get(countKey) ?? 0;
    counts.set(countKey, accountRank + 1);
    return { job, span, accountRank, tieBreaker: random() };
  });
  return places
    .sort(
      (left, right) =>
        left.span - right.span ||
        left.accountRank - right.accountRank ||
        left.tieBreaker - right.tieBreaker,
    )
    .map(({ job }) => job);
};
