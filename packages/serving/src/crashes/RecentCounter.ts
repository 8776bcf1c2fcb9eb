/** Counts events of the last minute. */

/** Length of a bucket. Unit: ms. */
const BUCKET_MS = 100;

/** How long events are counted. Unit: ms. */
const RETENTION_MS = 60_000;

/** Counts events in buckets of equal length. */
export class RecentCounter {
  /** Number of events by number of the bucket, oldest first. */
  private readonly buckets = new Map<number, number>();

  /**
   * Adds events.
   *
   * @param count - number of events
   * @param now - monotonic time. Unit: ms
   */
  add(count: number, now: number): void {
    const bucket = Math.floor(now / BUCKET_MS);
    this.buckets.set(bucket, (this.buckets.get(bucket) ?? 0) + count);
    const [oldest] = this.buckets.keys();
    if (oldest! * BUCKET_MS < now - RETENTION_MS) this.buckets.delete(oldest!);
  }

  /**
   * Counts the events between two times.
   *
   * @param from - monotonic time. Unit: ms
   * @param to - monotonic time. Unit: ms
   * @returns number of events; buckets that are not completely between the two times are left out
   */
  countBetween(from: number, to: number): number {
    const first = Math.ceil(from / BUCKET_MS);
    const end = Math.floor(to / BUCKET_MS);
    let total = 0;
    for (let bucket = first; bucket < end; bucket += 1) total += this.buckets.get(bucket) ?? 0;
    return total;
  }
}
