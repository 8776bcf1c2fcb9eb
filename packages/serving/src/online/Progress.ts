/** Counts the sends of one request. */

/** What has become of a request so far. */
export class Progress {
  /** Identities of targets that failed the request. */
  readonly excluded = new Set<string>();

  /** Targets that may have run it. */
  mayHaveRun = 0;

  sends = 0;

  countSend(): void {
    this.sends += 1;
  }

  countRun(): void {
    this.mayHaveRun += 1;
  }
}
