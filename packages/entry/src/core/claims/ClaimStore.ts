/** At-most-once claims: one row for each identity, written before a request is forwarded. */
import { randomUUID } from 'node:crypto';
import type { Journal } from '@jacinthlug/catalog/Journal';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { Row, RowKey, Table, TableFailure, Write } from '@jacinthlug/backing/Table';
import type { Identity } from '../online/OnlineRequest.js';
import type { BackgroundWrites } from './BackgroundWrites.js';
import { fromRow, toAttributes, type RecordedResponse } from './RecordedResponse.js';

/** Time for which claims are kept. Unit: ms. */
const CLAIM_RETENTION_MS = 7 * 24 * 3600 * 1000;

/** Longest time that an answer waits for its record. Unit: ms. */
const WRITE_TIMEOUT_MS = 1000;

/** Largest difference between the wall clocks of two hosts that is allowed for. Unit: ms. */
const MAX_CLOCK_SKEW_MS = 60_000;

/** Claims that were released between a conflict and the read are tried again this often. */
const MAX_CLAIM_ATTEMPTS = 3;

/** The right to forward one request. */
export interface Claim {
  readonly keys: readonly RowKey[];
  /** Names the attempt that owns the rows. */
  readonly attempt: string;
}

/** What became of the wish to claim. */
export type ClaimResult =
  | { readonly kind: 'claimed'; readonly claim: Claim }
  | { readonly kind: 'replay'; readonly answer: RecordedResponse }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  /** The table does not tell; the claim may appear later and is released then. */
  | { readonly kind: 'unavailable' };

const createRowKey = ({ hash }: Identity): RowKey => ({ pk: `claim#${hash}`, sk: 'claim' });

/** A wish to claim. */
export interface ClaimRequest {
  /** At least one; all are claimed or none. */
  readonly identities: readonly Identity[];
  readonly fingerprint: string;
  /** Monotonic time until which the outcome must be known. Unit: ms. */
  readonly deadline: number;
  /** Wall-clock time at which the request has ended in any case. Unit: ms since 1970. */
  readonly endsBy: number;
  /** Whether a claim whose request has ended without a record may be taken over. */
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

/** Only the attempt that owns a row in state `claimed` may change or delete it. */
const createOwnerConditions = (attempt: string) =>
  [
    { kind: 'equals', attribute: 'attempt', value: attempt },
    { kind: 'equals', attribute: 'state', value: 'claimed' },
  ] as const;

const createReleaseWrites = ({ keys, attempt }: Claim): Write[] =>
  keys.map((key) => ({ kind: 'delete', key, conditions: createOwnerConditions(attempt) }));

const createRecordWrites = async (
  { keys, attempt }: Claim,
  answer: RecordedResponse,
): Promise<Write[]> => {
  const set = { state: 'done', ...(await toAttributes(answer)) };
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
    const answer = await fromRow(row);
    return answer
      ? { kind: 'replay', answer }
      : outcomeUnknown('It ran, and its answer was too large to be recorded.');
  },
};

const readRow = async (row: Row, fingerprint: string): Promise<ClaimResult> => {
  if (row.attributes.fingerprint !== fingerprint) {
    return { kind: 'refused', refusal: refuse('identity-reused') };
  }
  return row.attributes.state === 'done' ? rowReaders.done(row) : rowReaders.claimed(row);
};

/** Refusals outrank a replay: one of two identities may belong to another request. */
const pickStrictest = (claimings: readonly ClaimResult[]): ClaimResult | undefined =>
  claimings.find(({ kind }) => kind === 'refused') ?? claimings[0];

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
   * @param wish - identities and terms
   * @returns the claim, the recorded answer, a refusal, or that the table does not tell
   */
  async claim(wish: ClaimRequest): Promise<ClaimResult> {
    const keys = wish.identities.map(createRowKey);
    for (let tries = 0; tries < MAX_CLAIM_ATTEMPTS; tries += 1) {
      const claim: Claim = { keys, attempt: randomUUID() };
      const writes = keys.map((key) => createClaimWrite(key, claim.attempt, wish));
      const written = await this.table.transactWithRetry(writes, claim.attempt, wish.deadline);
      if (written.isOk()) return { kind: 'claimed', claim };
      const found = await this.readOutcome(claim, written.error, wish);
      if (found.kind !== 'claimed') this.releaseUnknown(claim, writes, written.error);
      if (found.kind !== 'absent') return found;
      if (performance.now() >= wish.deadline) break;
    }
    return { kind: 'unavailable' };
  }

  /**
   * Records the answer of a claimed request, so that resends get it. Waits for the record for a short while
   * and goes on in the background.
   *
   * @param claim - the claim
   * @param answer - whole answer of the target
   */
  async record(claim: Claim, answer: RecordedResponse): Promise<void> {
    const writes = await createRecordWrites(claim, answer);
    const token = randomUUID();
    const deadline = performance.now() + WRITE_TIMEOUT_MS;
    const recorded = await this.table.transactWithRetry(writes, token, deadline);
    if (recorded.isOk() || recorded.error.kind === 'conflict') return;
    this.journal.record('claim-unrecorded', { attempt: claim.attempt });
    this.background.track(this.background.transactUntilKnown(writes, token).then(() => undefined));
  }

  /**
   * Releases the claim of a request that provably did not run. The caller must not forward it afterwards.
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

  /** Finds out by a consistent read who owns the rows. */
  private async readOutcome(
    claim: Claim,
    failure: TableFailure,
    wish: ClaimRequest,
  ): Promise<ClaimResult | { readonly kind: 'absent' }> {
    // A request that may run without its claim does not wait for reads when writes fail.
    if (failure.kind === 'unavailable' && wish.repeatable) return { kind: 'unavailable' };
    const reads = await Promise.all(claim.keys.map((key) => this.table.get(key)));
    const rows = reads.flatMap((read) => (read.isOk() && read.value ? [read.value] : []));
    if (rows.some(({ attributes }) => attributes.attempt === claim.attempt)) {
      return { kind: 'claimed', claim };
    }
    if (wish.repeatable && (await this.removeAbandoned(rows, wish))) return { kind: 'absent' };
    const claiming = pickStrictest(
      await Promise.all(rows.map((row) => readRow(row, wish.fingerprint))),
    );
    const unread = reads.some((read) => read.isErr());
    if (claiming && !(unread && claiming.kind === 'replay')) return claiming;
    if (failure.kind !== 'conflict') return { kind: 'unavailable' };
    // The conflict proves that a request with this identity was started before.
    return unread ? outcomeUnknown('Its record cannot be read now.') : { kind: 'absent' };
  }

  /**
   * Removes claims of the same request whose host died: the request may run again, so that its caller need
   * not wait until the claims expire.
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

  /** Removes a claim whose write was not settled in time, whenever it takes effect. */
  private releaseUnknown(claim: Claim, writes: readonly Write[], failure: TableFailure): void {
    if (failure.kind !== 'unknown') return;
    const task = async () => {
      await this.background.transactUntilKnown(writes, claim.attempt);
      await this.background.transactUntilKnown(createReleaseWrites(claim), randomUUID());
    };
    this.background.track(task());
  }
}
