/** Checks one target that requests have left while it was silent. */
import type { Target } from '../fleet/Target.js';
import type { Dialect, HeadClassification } from '../http/Dialect.js';
import type { TargetCall } from '../http/TargetCall.js';
import type { TargetClient } from '../http/TargetClient.js';
import type { TargetHealth } from '../routing/TargetHealth.js';
import { IdleTimeout } from './IdleTimeout.js';

/** Time within which a target that is not silent, but slow with some requests, responds to a health check. Unit: ms. */
const MAX_RESPONSE_TIME_MS = 200;

/**
 * Time after which a health check without a response is repeated on a new connection, as packets that are lost on the way are
 * sent again ever more slowly. Unit: ms.
 */
const HEALTH_CHECK_TIMEOUT_MS = 400;

/** Responses to a health check that come from the target itself, whatever they state about its health. */
const OWN_RESPONSES: ReadonlySet<HeadClassification> = new Set([
  'answer',
  'not-run',
  'unproven-refusal',
]);

/** Dependencies of {@link HealthChecks}. */
export interface HealthChecksDependencies {
  readonly client: Pick<TargetClient, 'send'>;
  readonly dialect: Pick<Dialect, 'buildHealthCheckHeaders' | 'classifyHead'>;
  readonly health: Pick<TargetHealth, 'recordSuccess'>;
}

/** Health checks of one target. */
export class HealthChecks {
  /** Number of requests that wait for the target. */
  watchers = 0;

  /** Whether the first check had no response in time. */
  private wasSilent = false;

  private call: TargetCall | undefined;

  private readonly timeout = new IdleTimeout(() => {
    if (this.wasSilent) this.send();
    else this.recordSilence();
  });

  constructor(
    private readonly target: Target,
    private readonly path: string,
    private readonly dependencies: HealthChecksDependencies,
  ) {}

  /** Sends a first check, unless one is in progress. */
  start(): void {
    if (this.call) return;
    this.wasSilent = false;
    this.timeout.start(MAX_RESPONSE_TIME_MS);
    this.send();
  }

  /** Aborts the check in progress. */
  stop(): void {
    this.timeout.stop();
    const { call } = this;
    this.call = undefined;
    call?.abort();
  }

  private recordSilence(): void {
    this.wasSilent = true;
    this.timeout.start(HEALTH_CHECK_TIMEOUT_MS);
  }

  private send(): void {
    const { client, dialect, health } = this.dependencies;
    const { target, path } = this;
    this.call?.abort();
    const call = client.send(
      target,
      {
        id: '',
        method: 'GET',
        path,
        headers: dialect.buildHealthCheckHeaders(target, HEALTH_CHECK_TIMEOUT_MS),
        body: null,
      },
      {
        sent: () => undefined,
        head: (status, headers) => {
          if (this.call !== call) return;
          this.timeout.stop();
          this.call = undefined;
          call.discard();
          if (this.wasSilent && OWN_RESPONSES.has(dialect.classifyHead(status, headers, '')))
            health.recordSuccess(target.id);
        },
        data: () => undefined,
        end: () => undefined,
        // A target that can't be reached is checked again after the timeout.
        fail: () => undefined,
      },
    );
    this.call = call;
  }
}
