/** Detects requests that were counted against a rate share that is no longer valid. */

/**
 * Time after which no share of an earlier generation is valid: 10 s of validity and 1 s for the
 * response that carried the share. Unit: ms.
 */
const MAX_OLD_SHARE_AGE_MS = 11_000;

interface ShardGenerations {
  /** Lower generations are refused. */
  lowestValid: number;
  /** Generations first seen in the last 11 s, in ascending order. */
  recent: { readonly generation: number; readonly seenAt: number }[];
}

/** Checks the generations of rate shares, by shard. */
export class GenerationCheck {
  private readonly shards = new Map<number, ShardGenerations>();

  /**
   * @param now - returns the monotonic time. Unit: ms
   */
  constructor(private readonly now: () => number = () => performance.now()) {}

  /**
   * Records the generation of a request and checks whether its share may still be valid.
   *
   * @param shard - shard of the client account
   * @param generation - generation of the share
   * @returns whether the request may run
   */
  accepts(shard: number, generation: number): boolean {
    const state = this.shards.get(shard) ?? { lowestValid: 0, recent: [] };
    this.shards.set(shard, state);
    const now = this.now();
    const highest = state.recent.at(-1)?.generation ?? state.lowestValid;
    if (generation > highest) state.recent.push({ generation, seenAt: now });
    while (state.recent[0] && now - state.recent[0].seenAt >= MAX_OLD_SHARE_AGE_MS) {
      state.lowestValid = state.recent.shift()?.generation ?? state.lowestValid;
    }
    return generation >= state.lowestValid;
  }
}
