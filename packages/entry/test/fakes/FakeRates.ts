/** Fake rate shares with a fixed number of permits. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { Permit, RateShares } from '@jacinthlug/control/RateShares';
import { err, ok, type Result } from 'neverthrow';

/** Rate shares with a fixed number of permits. */
export class FakeRates {
  permits = 1000;

  private readonly permit: Permit = { shard: 3, generation: 7 };

  asRates(): RateShares {
    return {
      acquire: () => this.acquire(),
      refund: () => this.refund(),
      handleRequest: () => Promise.reject(new Error('not served by the fake')),
      start: () => undefined,
      stop: () => Promise.resolve(),
    };
  }

  private acquire(): Promise<Result<Permit, Refusal>> {
    if (this.permits === 0) return Promise.resolve(err(refuse('rate-exceeded')));
    this.permits -= 1;
    return Promise.resolve(ok(this.permit));
  }

  private refund(): void {
    this.permits += 1;
  }
}
