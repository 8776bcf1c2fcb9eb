/** What a request states about its own size. */

/** Size of a request in tokens, as its caller states it. */
export interface RequestSize {
  /** Tokens of the prompt. */
  readonly promptTokens: number;
  /** Maximum number of output tokens. */
  readonly maxOutputTokens: number;
  /** The caller's estimate of the number of output tokens; undefined without one. */
  readonly hintedOutputTokens: number | undefined;
}
