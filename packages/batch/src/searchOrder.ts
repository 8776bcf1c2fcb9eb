/** Decides in which order agents search queued jobs for a free chunk. */

/** Jobs due within the same span are searched in turn by account. Unit: ms. */
const DUE_SPAN_MS = 3_600_000;

/** A queued job. */
export interface QueuedJob {
  readonly job: string;
  readonly account: string;
  /** Wall-clock time. Unit: ms since 1970. */
  readonly dueAt: number;
}

interface Place {
  readonly job: string;
  readonly span: number;
  /** Jobs of the same account that are due earlier in the same span. */
  readonly earlier: number;
  /** Spreads agents over accounts. */
  readonly draw: number;
}

/**
 * Orders jobs by due time, to the hour. Within an hour each account's first job comes before any
 * second one, in random order, so that an account with many or large jobs does not starve others.
 *
 * @param jobs - queued jobs, by due time
 * @param random - random numbers of [0, 1)
 * @returns job ids in the order of search
 */
export const searchOrder = (jobs: readonly QueuedJob[], random: () => number): string[] => {
  const counts = new Map<string, number>();
  const places = jobs.map(({ job, account, dueAt }): Place => {
    const span = Math.floor(dueAt / DUE_SPAN_MS);
    const counted = `${span} ${account}`;
    const earlier = counts.get(counted) ?? 0;
    counts.set(counted, earlier + 1);
    return { job, span, earlier, draw: random() };
  });
  return places
    .sort(
      (left, right) =>
        left.span - right.span || left.earlier - right.earlier || left.draw - right.draw,
    )
    .map(({ job }) => job);
};
