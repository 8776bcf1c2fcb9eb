/** At-most-once claims: one row per identity, written before a request is forwarded. */
import { randomUUID } from 'node:crypto';
import type { Journal } from '@jacinthlug/catalog/Journal';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { Row, RowKey, Table, TableFailure, Write } from '@jacinthlug/backing/Table';
import type { Identity } from '../online/OnlineRequest.js';
import type { BackgroundWrites } from './BackgroundWrites.js';
import { fromRow, toAttributes, type RecordedResponse } from './RecordedResponse.js';

/** Unit: ms. */
const CLAIM_RETENTION_MS = 7 * 24 * 3600 * 1000;

/** Timeout for recording or releasing a claim, while the response is waiting. Unit: ms. */
const WRITE_TIMEOUT_MS = 1000;

/** Maximum assumed difference between the wall clocks of two hosts. Unit: ms. */
const MAX_CLOCK_SKEW_MS = 60_000;

/** Maximum number of attempts while conflicting claims are released before they are read. */
const MAX_CLAIM_ATTEMPTS = 3;

/** The right to forward one request. */
export interface Claim {
  readonly keys: readonly RowKey[];
  /** Id of the attempt that owns the rows. */
  readonly attempt: string;
}

/** Outcome of a claim request. */
export type ClaimResult =
  | { readonly kind: 'claimed'; readonly claim: Claim }
  | { readonly kind: 'replay'; readonly answer: RecordedResponse }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  /** The outcome of the write is unknown; the claim may appear later and is then released. */
  | { readonly kind: 'unavailable' };

const createRowKey = ({ hash }: Identity): RowKey => ({ pk: `claim#${hash}`, sk: 'claim' });

/** Request for a claim. */
export interface ClaimRequest {
  /** One or more identities, which are claimed atomically. */
  readonly identities: readonly Identity[];
  readonly fingerprint: string;
  /** Monotonic time by which the outcome must be known. Unit: ms. */
  readonly deadline: number;
  /** Wall-clock time by which the request has certainly ended. Unit: ms since 1970. */
  readonly endsBy: number;
  /** Whether a claim may be taken over if its request ended without a recorded response. */
  readonly repeatable: boolean;
}

const createClaimWrite = (
  key: RowKey,
  attempt: string,
  { fingerprint, endsBy }: ClaimRequest,
): Write => ({
  kind: 'put',
  key,
  attributes: {
    state: 'claimed',
    attempt,
    fingerprint,
    endsBy,
    expiresAt: Date.now() + CLAIM_RETENTION_MS,
  },
  conditions: [{ kind: 'absent' }],
});

/** Conditions that allow only the owning attempt to change or delete a row in state `claimed`. */
const createOwnerConditions = (attempt: string) =>
  [
    { kind: 'equals', attribute: 'attempt', value: attempt },
    { kind: 'equals', attribute: 'state', value: 'claimed' },
  ] as const;

const createReleaseWrites = ({ keys, attempt }: Claim): Write[] =>
  keys.map((key) => ({ kind: 'delete', key, conditions: createOwnerConditions(attempt) }));

const createRecordWrites = async (
  { keys, attempt }: Claim,
  response: RecordedResponse,
): Promise<Write[]> => {
  const set = { state: 'done', ...(await toAttributes(response)) };
  return keys.map((key) => ({
    kind: 'update',
    key,
    set,
    conditions: createOwnerConditions(attempt),
  }));
};

const outcomeUnknown = (detail: string): ClaimResult => ({
  kind: 'refused',
  refusal: refuse('outcome-unknown', { detail }),
});

type RowReader = (row: Row) => Promise<ClaimResult>;

const rowReaders: Readonly<Record<'claimed' | 'done', RowReader>> = {
  claimed: () => Promise.resolve(outcomeUnknown('It may still be running.')),
  done: async (row) => {
    const response = await fromRow(row);
    return response
      ? { kind: 'replay', answer: response }
      : outcomeUnknown('It ran, and its response was too large to be recorded.');
  },
};

const readRow = async (row: Row, fingerprint: string): Promise<ClaimResult> => {
  if (row.attributes.fingerprint !== fingerprint) {
    return { kind: 'refused', refusal: refuse('identity-reused') };
  }
  return row.attributes.state === 'done' ? rowReaders.done(row) : rowReaders.claimed(row);
};

/** Prefers a refusal to a replay, since one of two identities may belong to another request. */
const pickStrictest = (results: readonly ClaimResult[]): ClaimResult | undefined =>
  results.find(({ kind }) => kind === 'refused') ?? results[0];

/** Writes, records and releases claims. */
export class ClaimStore {
  constructor(
    private readonly table: Table,
    private readonly background: BackgroundWrites,
    private readonly journal: Journal,
  ) {}

  /**
   * Claims the identities of a request, all or none.
   *
   * @param request - identities and conditions
   * @returns the claim, the recorded response, a refusal, or `unavailable`
   */
  async claim(request: ClaimRequest): Promise<ClaimResult> {
    const keys = request.identities.map(createRowKey);
    for (let attemptCount = 0; attemptCount < MAX_CLAIM_ATTEMPTS; attemptCount += 1) {
      const claim: Claim = { keys, attempt: randomUUID() };
      const writes = keys.map((key) => createClaimWrite(key, claim.attempt, request));
      const written = await this.table.transactWithRetry(writes, claim.attempt, request.deadline);
      if (written.isOk()) return { kind: 'claimed', claim };
      const found = await this.readOutcome(claim, written.error, request);
      if (found.kind !== 'claimed') this.releaseUnknown(claim, writes, written.error);
      if (found.kind !== 'absent') return found;
      if (performance.now() >= request.deadline) break;
    }
    return { kind: 'unavailable' };
  }

  /**
   * Records the response of a claimed request, so that repeated requests receive it. If the write
   * does not succeed within a short timeout, it is retried in the background.
   *
   * @param claim - the claim
   * @param response - complete response of the target
   */
  async record(claim: Claim, response: RecordedResponse): Promise<void> {
    const writes = await createRecordWrites(claim, response);
    const token = randomUUID();
    const deadline = performance.now() + WRITE_TIMEOUT_MS;
    const recorded = await this.table.transactWithRetry(writes, token, deadline);
    if (recorded.isOk() || recorded.error.kind === 'conflict') return;
    this.journal.record('claim-unrecorded', { attempt: claim.attempt });
    this.background.track(this.background.transactUntilKnown(writes, token).then(() => undefined));
  }

  /**
   * Releases the claim of a request that provably did not run. The request must not be forwarded
   * afterwards.
   *
   * @param claim - the claim
   */
  async release(claim: Claim): Promise<void> {
    const writes = createReleaseWrites(claim);
    const token = randomUUID();
    const deadline = performance.now() + WRITE_TIMEOUT_MS;
    const released = await this.table.transactWithRetry(writes, token, deadline);
    if (released.isOk() || released.error.kind === 'conflict') return;
    this.background.track(this.background.transactUntilKnown(writes, token).then(() => undefined));
  }

  /** Determines who owns the rows with consistent reads. */
  private async readOutcome(
    claim: Claim,
    failure: TableFailure,
    request: ClaimRequest,
  ): Promise<ClaimResult | { readonly kind: 'absent' }> {
    // A repeatable request may run without its claim, so it doesn't wait for reads when writes fail.
    if (failure.kind === 'unavailable' && request.repeatable) return { kind: 'unavailable' };
    const reads = await Promise.all(claim.keys.map((key) => this.table.get(key)));
    const rows = reads.flatMap((read) => (read.isOk() && read.value ? [read.value] : []));
    if (rows.some(({ attributes }) => attributes.attempt === claim.attempt)) {
      return { kind: 'claimed', claim };
    }
    if (request.repeatable && (await this.removeAbandoned(rows, request)))
      return { kind: 'absent' };
    const result = pickStrictest(
      await Promise.all(rows.map((row) => readRow(row, request.fingerprint))),
    );
    const unread = reads.some((read) => read.isErr());
    if (result && !(unread && result.kind === 'replay')) return result;
    if (failure.kind !== 'conflict') return { kind: 'unavailable' };
    // The conflict proves that a request with this identity was started earlier.
    return unread ? outcomeUnknown('Its record cannot be read now.') : { kind: 'absent' };
  }

  /**
   * Removes claims that a failed host left for the same request. The request may then run again, and
   * its caller does not have to wait until the claims expire.
   */
  private async removeAbandoned(
    rows: readonly Row[],
    { fingerprint }: ClaimRequest,
  ): Promise<boolean> {
    const isEnded = ({ attributes }: Row) =>
      attributes.state === 'claimed' &&
      attributes.fingerprint === fingerprint &&
      Number(attributes.endsBy) + MAX_CLOCK_SKEW_MS < Date.now();
    if (rows.length === 0 || !rows.every(isEnded)) return false;
    const writes = rows.flatMap(({ pk, sk, attributes }) =>
      createReleaseWrites({ keys: [{ pk, sk }], attempt: String(attributes.attempt) }),
    );
    return (await this.table.transact(writes, randomUUID())).isOk();
  }

  /** Releases a claim whose write has an unknown outcome, whenever it takes effect. */
  private releaseUnknown(claim: Claim, writes: readonly Write[], failure: TableFailure): void {
    if (failure.kind !== 'unknown') return;
    const task = async () => {
      await this.background.transactUntilKnown(writes, claim.attempt);
      await this.background.transactUntilKnown(createReleaseWrites(claim), randomUUID());
    };
    this.background.track(task());
  }
}
