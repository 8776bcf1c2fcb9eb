/**
 * Decides whether a stream has ended where its connection did. A response with neither a length nor chunks ends with its
 * connection, and so does one that its target breaks off between two events. What breaks off one response may break off the
 * next one too, in the same place, above all at the same target.
 */

/** Number of ends after the same event that prove it as the last one, if several targets have shown them. */
const REQUIRED_ENDS = 3;

/** The same if only one target has shown them, as it may be the only one that can continue the stream. */
const REQUIRED_ENDS_OF_ONE_TARGET = 5;

/** The end of a response with its connection. */
export interface ObservedEnd {
  /** Id of the last event before it. */
  readonly lastEventId: string | undefined;
  /** The targets that can continue the stream. */
  readonly service: string;
  readonly version: string;
  /** Incarnation of the target that sent the response. */
  readonly target: string;
}

/** Collects the ends of the responses of one stream. */
export class EndEvidence {
  private last: ObservedEnd | undefined;

  private count = 0;

  private readonly observedTargets = new Set<string>();

  /**
   * Records an end. Ends after another event, or of other versions, prove nothing from then on.
   *
   * @param end - the end
   */
  record(end: ObservedEnd): void {
    const { last } = this;
    const isRepeated =
      last?.lastEventId === end.lastEventId &&
      last?.service === end.service &&
      last?.version === end.version;
    if (!isRepeated) this.reset();
    this.last = end;
    this.count += 1;
    this.observedTargets.add(end.target);
  }

  /** Discards the evidence. */
  reset(): void {
    this.last = undefined;
    this.count = 0;
    this.observedTargets.clear();
  }

  /**
   * Checks whether the stream is complete.
   *
   * @returns whether enough ends were observed after the same event
   */
  get isProven(): boolean {
    return (
      this.count >= (this.observedTargets.size > 1 ? REQUIRED_ENDS : REQUIRED_ENDS_OF_ONE_TARGET)
    );
  }

  /**
   * Lists the targets that have shown the end; another one is a better witness.
   *
   * @returns their incarnations
   */
  get targets(): ReadonlySet<string> {
    return this.observedTargets;
  }
}
