/** Prefix cache with a limited size: blocks of prompt tokens, evicted in LRU order. */
import { createHash } from 'node:crypto';

const BLOCK_TOKENS = 16;

const hashBlock = (previous: string, block: readonly string[]): string =>
  createHash('sha256').update(previous).update('\0').update(block.join(' ')).digest('base64');

/** Prefix cache of an engine with LRU eviction. */
export class PrefixCache {
  /** Block hashes, least recently used first; each hash covers the prompt up to the end of its block. */
  private readonly blocks = new Set<string>();

  /**
   * @param capacityTokens - maximum number of cached prompt tokens
   */
  constructor(private readonly capacityTokens: number) {}

  /**
   * Looks up a prompt and stores it.
   *
   * @param tokens - prompt tokens
   * @returns number of tokens at the start of the prompt that were cached
   */
  lookUpAndStore(tokens: readonly string[]): number {
    let hash = '';
    let cached = 0;
    let isPrefixCached = true;
    for (let start = 0; start + BLOCK_TOKENS <= tokens.length; start += BLOCK_TOKENS) {
      hash = hashBlock(hash, tokens.slice(start, start + BLOCK_TOKENS));
      isPrefixCached &&= this.blocks.delete(hash);
      if (isPrefixCached) cached += BLOCK_TOKENS;
      this.blocks.add(hash);
    }
    this.evict();
    return cached;
  }

  get cachedTokens(): number {
    return this.blocks.size * BLOCK_TOKENS;
  }

  clear(): void {
    this.blocks.clear();
  }

  private evict(): void {
    const surplus = this.blocks.size - Math.floor(this.capacityTokens / BLOCK_TOKENS);
    [...this.blocks].slice(0, Math.max(0, surplus)).forEach((hash) => this.blocks.delete(hash));
  }
}
