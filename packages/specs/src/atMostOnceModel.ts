/**
 * Model of at-most-once claims, with resent requests, crashes and lost responses.
 *
 * There is one request identity; each of two entry hosts handles one attempt of the caller. Events: `claim`
 * writes the claim row, `settle` retries an unacknowledged write and reads the row, `forward` sends the
 * request to the target, `record` stores the response, and `refuse` is the "not run" response of a host
 * whose claim has an unknown outcome. A write whose response was lost may also take effect later (`land`).
 */
import { applyTransition, type Model, type Transitions } from './exploreModel.js';

type EntryName = 'a' | 'b';

type EntryPhase =
  | 'waiting'
  | 'unsettled'
  | 'claimed'
  | 'forwarded'
  | 'answered'
  | 'replayed'
  | 'unknown'
  | 'refused'
  | 'crashed';

interface AtMostOnceState {
  /** Host that owns the claim row. */
  readonly claim: 'absent' | EntryName;
  /** Whether the response is recorded. */
  readonly recorded: boolean;
  /** Hosts whose claim write was sent and has not taken effect yet. */
  readonly late: readonly EntryName[];
  /** Number of times that the target ran the request. */
  readonly runs: number;
  /** Last host that forwarded the request. */
  readonly forwardedBy: 'none' | EntryName;
  readonly a: EntryPhase;
  readonly b: EntryPhase;
}

type AtMostOnceEvent =
  | {
      readonly type: 'claim';
      readonly entry: EntryName;
      readonly response: 'told' | 'lost' | 'late';
    }
  | {
      readonly type: 'land' | 'settle' | 'refuse' | 'forward' | 'retry' | 'record' | 'crash';
      readonly entry: EntryName;
    };

/** Faults that can be injected to verify that the check detects them. */
export type AtMostOnceFault =
  | 'none'
  | 'no claim'
  | 'forward while unsettled'
  | 'retry after a lost response'
  | 'crash releases the claim'
  | 'refuse after forwarding';

const setPhase = (
  state: AtMostOnceState,
  entry: EntryName,
  phase: EntryPhase,
): AtMostOnceState => ({
  ...state,
  [entry]: phase,
});

/** Handles the claim of another attempt: replays its response, or reports an unknown outcome. */
const handleExistingClaim = (state: AtMostOnceState, entry: EntryName): AtMostOnceState =>
  setPhase(state, entry, state.recorded ? 'replayed' : 'unknown');

const runRequest = (state: AtMostOnceState, entry: EntryName): AtMostOnceState =>
  setPhase({ ...state, runs: state.runs + 1, forwardedBy: entry }, entry, 'forwarded');

const transitions: Transitions<AtMostOnceState, AtMostOnceEvent, AtMostOnceFault> = {
  claim(state, { entry, response }, fault) {
    if (state[entry] !== 'waiting') return state;
    if (fault === 'no claim') return setPhase(state, entry, 'claimed');
    if (response === 'late') {
      return setPhase({ ...state, late: [...state.late, entry] }, entry, 'unsettled');
    }
    if (state.claim !== 'absent') {
      return response === 'told'
        ? handleExistingClaim(state, entry)
        : setPhase(state, entry, 'unsettled');
    }
    return setPhase(
      { ...state, claim: entry },
      entry,
      response === 'told' ? 'claimed' : 'unsettled',
    );
  },
  land(state, { entry }) {
    if (!state.late.includes(entry)) return state;
    const late = state.late.filter((name) => name !== entry);
    return { ...state, late, claim: state.claim === 'absent' ? entry : state.claim };
  },
  settle(state, { entry }) {
    if (state[entry] !== 'unsettled') return state;
    // The retry carries the same token, so a late write and its retry take effect at most once in total.
    const late = state.late.filter((name) => name !== entry);
    const written = { ...state, late, claim: state.claim === 'absent' ? entry : state.claim };
    return written.claim === entry
      ? setPhase(written, entry, 'claimed')
      : handleExistingClaim(written, entry);
  },
  refuse(state, { entry }, fault) {
    const isAfterForward = fault === 'refuse after forwarding' && state[entry] === 'forwarded';
    return state[entry] === 'unsettled' || isAfterForward
      ? setPhase(state, entry, 'refused')
      : state;
  },
  forward(state, { entry }, fault) {
    const isUnclaimed = fault === 'forward while unsettled' && state[entry] === 'unsettled';
    return state[entry] === 'claimed' || isUnclaimed ? runRequest(state, entry) : state;
  },
  retry(state, { entry }, fault) {
    const isRetried = fault === 'retry after a lost response' && state[entry] === 'forwarded';
    return isRetried && state.runs < 3 ? runRequest(state, entry) : state;
  },
  record(state, { entry }) {
    if (state[entry] !== 'forwarded') return state;
    const recorded = state.recorded || state.claim === entry;
    return setPhase({ ...state, recorded }, entry, 'answered');
  },
  crash(state, { entry }, fault) {
    const isReleased =
      fault === 'crash releases the claim' && state.claim === entry && !state.recorded;
    return setPhase(isReleased ? { ...state, claim: 'absent' } : state, entry, 'crashed');
  },
};

/**
 * Creates the model.
 *
 * @param fault - fault to inject
 * @returns the model
 */
export const createAtMostOnceModel = (
  fault: AtMostOnceFault,
): Model<AtMostOnceState, AtMostOnceEvent> => ({
  initial: {
    claim: 'absent',
    recorded: false,
    late: [],
    runs: 0,
    forwardedBy: 'none',
    a: 'waiting',
    b: 'waiting',
  },
  events: (['a', 'b'] as const).flatMap((entry): AtMostOnceEvent[] => [
    { type: 'claim', entry, response: 'told' },
    { type: 'claim', entry, response: 'lost' },
    { type: 'claim', entry, response: 'late' },
    { type: 'land', entry },
    { type: 'settle', entry },
    { type: 'refuse', entry },
    { type: 'forward', entry },
    { type: 'retry', entry },
    { type: 'record', entry },
    { type: 'crash', entry },
  ]),
  transition: (state, event) => applyTransition(transitions, state, event, fault),
  findViolation(state) {
    if (state.runs > 1) return 'the request ran twice';
    const isFalselyRefused = state.forwardedBy !== 'none' && state[state.forwardedBy] === 'refused';
    return isFalselyRefused ? 'a request that ran was reported as not run' : undefined;
  },
});
