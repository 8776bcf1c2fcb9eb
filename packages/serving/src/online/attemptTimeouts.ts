/** Timeouts of an attempt, from the objectives of its route. */
import type { Route } from '../configuration/ServingConfiguration.js';

/**
 * Timeout for the response head, after which a repeatable request is sent to another target, as a multiple of the
 * objective. Callers disconnect after two seconds or four objectives, whichever is later. With objectives up to 330 ms
 * the timeout is at most 1 s, which leaves a second target half of the two seconds.
 */
const HEAD_TIMEOUT_OBJECTIVES = 3;

/** Minimum timeout for the response head. Unit: ms. */
const MIN_HEAD_TIMEOUT_MS = 800;

/**
 * Idle timeout of the response body, after which a stream continues on another target, as a multiple of the
 * objective for pauses. A loaded target pauses for two or three objectives; callers disconnect after eight, but not
 * before two seconds.
 */
const BODY_IDLE_TIMEOUT_OBJECTIVES = 4;

/** Minimum idle timeout of the response body. Unit: ms. */
const MIN_BODY_IDLE_TIMEOUT_MS = 800;

/** Maximum idle timeout of the response body; lets another target continue before callers disconnect. Unit: ms. */
const MAX_BODY_IDLE_TIMEOUT_MS = 1400;

/**
 * Returns the timeout for the response head. The request itself ends with the route's timeout; a multiple of a long
 * objective may exceed the range of timers.
 *
 * @param route - route of the request
 * @returns timeout. Unit: ms
 */
export const getHeadTimeoutMs = ({ objectiveMs, timeoutMs }: Route): number =>
  Math.min(timeoutMs, Math.max(MIN_HEAD_TIMEOUT_MS, objectiveMs * HEAD_TIMEOUT_OBJECTIVES));

/**
 * Returns the idle timeout of the response body.
 *
 * @param route - route of the request
 * @returns timeout. Unit: ms
 */
export const getBodyIdleTimeoutMs = ({ pauseObjectiveMs }: Route): number =>
  Math.min(
    MAX_BODY_IDLE_TIMEOUT_MS,
    Math.max(MIN_BODY_IDLE_TIMEOUT_MS, pauseObjectiveMs * BODY_IDLE_TIMEOUT_OBJECTIVES),
  );
