/** Options of the engine stand-in. */
import type { ListenOptions } from '../target/TargetServer.js';

/** Options of the engine stand-in. */
export interface EngineOptions extends ListenOptions {
  /** Models loaded after a start. */
  readonly models: readonly string[];
  /** Varies the content of answers. */
  readonly seed: number;
  /** Time per token of a request that runs alone. Unit: ms. */
  readonly tokenMs: number;
  /** Time that each further running request adds to the time per token of all. Unit: ms. */
  readonly tokenMsPerRunning: number;
  /** Time for each prompt token that is not in the prefix cache. Unit: ms. */
  readonly prefillMsPerToken: number;
  /** Prompt tokens that the prefix cache holds. */
  readonly cacheTokens: number;
  /** Age of the report of `GET /load`. Unit: ms. */
  readonly loadLagMs: number;
  /** Whether orders with a number lower than the highest seen are refused. */
  readonly checksFencing: boolean;
  /** Time that loading a model takes. Unit: ms. */
  readonly loadModelMs: number;
  /** Time from a crash until connections are accepted again. Unit: ms. */
  readonly restartMs: number;
}

/** Options of an engine stand-in that is started without any. */
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
