/** One entry of the log of a stand-in. */

/** What became of a request. */
export type RequestOutcome =
  | 'running'
  | 'completed'
  | 'invalid'
  | 'refused'
  | 'cancelled'
  | 'cut'
  | 'lost'
  | 'crashed'
  | 'dropped';

/** One request as it arrived; sent to tests as JSON. */
export class LoggedRequest {
  outcome: RequestOutcome = 'running';

  constructor(
    readonly method: string,
    readonly path: string,
    readonly headers: Readonly<Record<string, string | string[] | undefined>>,
    readonly body: string,
  ) {}

  setOutcome(outcome: RequestOutcome): void {
    this.outcome = outcome;
  }
}
