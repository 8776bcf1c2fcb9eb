/** Counts the sends of one request. */

/** What has become of a request so far. */
export class RequestProgress {
  /** Identities of targets that failed the request. */
  readonly excludedTargets = new Set<string>();

  /** Targets that may have run it. */
  possibleRuns = 0;

  attempts = 0;

  countAttempt(): void {
    this.attempts += 1;
  }

  countPossibleRun(): void {
    this.possibleRuns += 1;
  }
}
