/** Options of the engine stand-in and their defaults. */
import type { ListenOptions } from '../target/TargetServer.js';

/** Options of the engine stand-in. */
export interface EngineOptions extends ListenOptions {
  /** Models loaded at start. */
  readonly models: readonly string[];
  /** Seed of the content of responses. */
  readonly seed: number;
  /** Time per token while a single request runs. Unit: ms. */
  readonly tokenMs: number;
  /** Increase of the time per token for each additional running request. Unit: ms. */
  readonly tokenMsPerRunning: number;
  /** Prefill time per prompt token that is not in the prefix cache. Unit: ms. */
  readonly prefillMsPerToken: number;
  /** Capacity of the prefix cache in prompt tokens. */
  readonly cacheTokens: number;
  /** Update interval, and so maximum age, of the report that `GET /load` returns. Unit: ms. */
  readonly loadLagMs: number;
  /** Whether orders with a fencing number below the highest received are refused. */
  readonly checksFencing: boolean;
  /** Time to load a model. Unit: ms. */
  readonly loadModelMs: number;
  /** Time from a crash until connections are accepted again. Unit: ms. */
  readonly restartMs: number;
}

/** Default options. */
export const defaultEngineOptions: EngineOptions = {
  models: ['atlas-7b'],
  seed: 1,
  tokenMs: 4,
  tokenMsPerRunning: 0.25,
  prefillMsPerToken: 0.05,
  cacheTokens: 20_000,
  loadLagMs: 500,
  checksFencing: false,
  loadModelMs: 0,
  restartMs: 500,
};
