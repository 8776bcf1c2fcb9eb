/**
 * Decides whether a stream has ended where its connection did. A response with neither a length nor chunks ends with its
 * connection, and so does one that its target breaks off between two events. What breaks off one response may break off the
 * next one too, in the same place, above all at the same target.
 */
import type { WorkClass } from '../routing/LoadTable.js';

/** Numbers of ends in the same place that prove it as the end of the stream. */
interface RequiredEnds {
  /** If several targets have shown them. */
  readonly ofSeveralTargets: number;
  /** If only one target has shown them, as it may be the only one that can continue the stream. */
  readonly ofOneTarget: number;
}

/**
 * Callers wait while the end is confirmed, so that a second target is asked once, and no target twice. An item can wait, and its
 * result is kept.
 */
const requiredEndsByWork: Readonly<Record<WorkClass, RequiredEnds>> = {
  online: { ofSeveralTargets: 2, ofOneTarget: Number.POSITIVE_INFINITY },
  batch: { ofSeveralTargets: 3, ofOneTarget: 5 },
};

/** The end of a response, with its connection or in a way that states it. */
export interface ObservedEnd {
  /** Where in the stream it was: the id of the last event, or the number of events. */
  readonly position: string | number | undefined;
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
   * @param work - class of the request that has the stream
   */
  constructor(private readonly work: WorkClass) {}

  /**
   * Records an end. Ends in another place, or of other versions, prove nothing from then on.
   *
   * @param end - the end
   */
  record(end: ObservedEnd): void {
    const { last } = this;
    const isRepeated =
      last?.position === end.position &&
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
   * @returns whether enough ends were observed in the same place
   */
  get isProven(): boolean {
    const { ofSeveralTargets, ofOneTarget } = requiredEndsByWork[this.work];
    return this.count >= (this.observedTargets.size > 1 ? ofSeveralTargets : ofOneTarget);
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
