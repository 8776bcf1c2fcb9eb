/** Prefix cache in limited memory: blocks of prompt tokens, the least recently used dropped first. */
import { createHash } from 'node:crypto';

const BLOCK_TOKENS = 16;

const hashBlock = (previous: string, block: readonly string[]): string =>
  createHash('sha256').update(previous).update('\0').update(block.join(' ')).digest('base64');

/** Prefix cache of an engine. */
export class PrefixCache {
  /** Block hashes, least recently used first; a hash covers the prompt from its start. */
  private readonly blocks = new Set<string>();

  /**
   * @param capacityTokens - prompt tokens that the cache holds
   */
  constructor(private readonly capacityTokens: number) {}

  /**
   * Looks a prompt up and stores it.
   *
   * @param tokens - prompt tokens
   * @returns how many tokens at the start of the prompt were cached
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
