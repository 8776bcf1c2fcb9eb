/**
 * Tells a crash of the target from a single dropped connection.
 *
 * A drop is a crash when the target refuses a new connection, when all requests in flight dropped
 * together, or when a suspect that ran alone dropped.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

/** A request in the target. */
export interface InFlight {
  /** Absent for batch items, which their worker runs again alone. */
  readonly fingerprint?: string;
  readonly suspect: boolean;
  /** Tells whether the entry host can still be answered that the target crashed. */
  canTell(): boolean;
}

/** A crash of the target. */
export interface Crash {
  /** Names this crash; equal in all answers that tell of it. */
  readonly id: string;
  /** Online requests that were in the target. */
  readonly fingerprints: readonly string[];
  /** Those of them whose answer cannot tell of the crash, so that they have to be reported apart. */
  readonly untold: readonly string[];
}

const fingerprintsOf = (requests: readonly InFlight[]): string[] =>
  requests.flatMap(({ fingerprint }) => fingerprint ?? []);

/** Time in which the connections of a crashed target drop. Unit: ms. */
const DROP_WINDOW_MS = 50;

/** Requests in the target and the crashes that hit them. */
export class CrashWatch {
  private readonly inFlight = new Set<InFlight>();

  private readonly dropped = new Set<InFlight>();

  private readonly crashes = new WeakMap<InFlight, Crash>();

  private judging: Promise<void> | undefined;

  /**
   * @param probe - tells whether the target accepts connections
   * @param onCrash - called once for each crash
   */
  constructor(
    private readonly probe: () => Promise<boolean>,
    private readonly onCrash: (crash: Crash) => void,
  ) {}

  enter(request: InFlight): void {
    this.inFlight.add(request);
  }

  leave(request: InFlight): void {
    this.inFlight.delete(request);
    this.dropped.delete(request);
  }

  /**
   * Judges a request whose connection dropped.
   *
   * @param request - the request; it must not have left yet
   * @returns the crash that hit it; nothing when only its own connection dropped
   */
  async judgeDrop(request: InFlight): Promise<Crash | undefined> {
    this.dropped.add(request);
    this.judging ??= this.judge().finally(() => {
      this.judging = undefined;
    });
    await this.judging;
    return this.crashes.get(request);
  }

  private async judge(): Promise<void> {
    const victims = [...this.inFlight];
    const wasAlone = victims.length === 1 && victims[0]?.suspect === true;
    const isAccepting = await this.probe();
    if (isAccepting && victims.length > 1) await sleep(DROP_WINDOW_MS);
    const allDropped = victims.length > 1 && victims.every((victim) => this.dropped.has(victim));
    if (isAccepting && !allDropped && !wasAlone) return;
    const untellable = victims.filter((victim) => !victim.canTell());
    const crash = {
      id: randomUUID(),
      fingerprints: fingerprintsOf(victims),
      untold: fingerprintsOf(untellable),
    };
    victims.forEach((victim) => this.crashes.set(victim, crash));
    this.onCrash(crash);
  }
}
