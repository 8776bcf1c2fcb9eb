/** Entry of the request log of a target stand-in. */

/** State of a request, or how it ended. */
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

/** A request as it was received; sent to tests as JSON. */
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
