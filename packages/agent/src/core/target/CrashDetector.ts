/**
 * Distinguishes a crash of the target from a single dropped connection.
 *
 * A drop is a crash when the target refuses a new connection, when all requests in flight dropped
 * together, or when a suspect that ran alone dropped.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';

/** A request in flight at the target. */
export interface InFlightRequest {
  /** Undefined for batch items, which the batch worker runs again alone. */
  readonly fingerprint?: string;
  readonly suspect: boolean;
  /** Checks whether the response to the entry host can still report the crash. */
  canReportCrash(): boolean;
}

/** A crash of the target. */
export interface Crash {
  /** Id of the crash; the same in all responses that report it. */
  readonly id: string;
  /** Fingerprints of the online requests that were in flight. */
  readonly fingerprints: readonly string[];
  /** Fingerprints of those whose response cannot report the crash; reported separately. */
  readonly unreported: readonly string[];
}

const getFingerprints = (requests: readonly InFlightRequest[]): string[] =>
  requests.flatMap(({ fingerprint }) => fingerprint ?? []);

/** Time within which all connections of a crashed target drop. Unit: ms. */
const DROP_WINDOW_MS = 50;

/** Detects crashes of the target from dropped connections. */
export class CrashDetector {
  private readonly inFlight = new Set<InFlightRequest>();

  private readonly dropped = new Set<InFlightRequest>();

  private readonly crashes = new WeakMap<InFlightRequest, Crash>();

  private detection: Promise<void> | undefined;

  /**
   * @param probe - checks whether the target accepts connections
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
   * Classifies the dropped connection of a request.
   *
   * @param request - the request; it must not have been removed yet
   * @returns the crash; undefined when only this connection dropped
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
    const requests = [...this.inFlight];
    const wasAlone = requests.length === 1 && requests[0]?.suspect === true;
    const isAccepting = await this.probe();
    if (isAccepting && requests.length > 1) await sleep(DROP_WINDOW_MS);
    const allDropped =
      requests.length > 1 && requests.every((request) => this.dropped.has(request));
    if (isAccepting && !allDropped && !wasAlone) return;
    const unreported = requests.filter((request) => !request.canReportCrash());
    const crash = {
      id: randomUUID(),
      fingerprints: getFingerprints(requests),
      unreported: getFingerprints(unreported),
    };
    requests.forEach((request) => this.crashes.set(request, crash));
    this.onCrash(crash);
  }
}
