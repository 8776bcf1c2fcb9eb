/**
 * Tells a crash of the target from a single dropped connection.
 *
 * A drop is a crash when the target refuses a new connection, when all requests in flight dropped
 * together, or when a suspect that ran alone dropped.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

/** A request in the target. */
export interface InFlightRequest {
  /** Absent for batch items, which their worker runs again alone. */
  readonly fingerprint?: string;
  readonly suspect: boolean;
  /** Tells whether the entry host can still be answered that the target crashed. */
  canReportCrash(): boolean;
}

/** A crash of the target. */
export interface Crash {
  /** Names this crash; equal in all answers that tell of it. */
  readonly id: string;
  /** Online requests that were in the target. */
  readonly fingerprints: readonly string[];
  /** Those of them whose answer cannot tell of the crash, so that they have to be reported apart. */
  readonly unreported: readonly string[];
}

const getFingerprints = (requests: readonly InFlightRequest[]): string[] =>
  requests.flatMap(({ fingerprint }) => fingerprint ?? []);

/** Time in which the connections of a crashed target drop. Unit: ms. */
const DROP_WINDOW_MS = 50;

/** Requests in the target and the crashes that hit them. */
export class CrashDetector {
  private readonly inFlight = new Set<InFlightRequest>();

  private readonly dropped = new Set<InFlightRequest>();

  private readonly crashes = new WeakMap<InFlightRequest, Crash>();

  private detection: Promise<void> | undefined;

  /**
   * @param probe - tells whether the target accepts connections
   * @param onCrash - called once for each crash
   */
  constructor(
    private readonly probe: () => Promise<boolean>,
    private readonly onCrash: (crash: Crash) => void,
  ) {}

  add(request: InFlightRequest): void {
    this.inFlight.add(request);
  }

  remove(request: InFlightRequest): void {
    this.inFlight.delete(request);
    this.dropped.delete(request);
  }

  /**
   * Judges a request whose connection dropped.
   *
   * @param request - the request; it must not have left yet
   * @returns the crash that hit it; nothing when only its own connection dropped
   */
  async classifyDrop(request: InFlightRequest): Promise<Crash | undefined> {
    this.dropped.add(request);
    this.detection ??= this.detectCrash().finally(() => {
      this.detection = undefined;
    });
    await this.detection;
    return this.crashes.get(request);
  }

  private async detectCrash(): Promise<void> {
    const victims = [...this.inFlight];
    const wasAlone = victims.length === 1 && victims[0]?.suspect === true;
    const isAccepting = await this.probe();
    if (isAccepting && victims.length > 1) await sleep(DROP_WINDOW_MS);
    const allDropped = victims.length > 1 && victims.every((victim) => this.dropped.has(victim));
    if (isAccepting && !allDropped && !wasAlone) return;
    const untellable = victims.filter((victim) => !victim.canReportCrash());
    const crash = {
      id: randomUUID(),
      fingerprints: getFingerprints(victims),
      unreported: getFingerprints(untellable),
    };
    victims.forEach((victim) => this.crashes.set(victim, crash));
    this.onCrash(crash);
  }
}
