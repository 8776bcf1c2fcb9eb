/**
 * Model of the at-most-once claim, with resends through two entry hosts, crashes and lost answers.
 *
 * One request identity; each entry host handles one send of it. Actions and the functions that they
 * stand for: `claim` is `writeClaim`, `settle` its settled repeat and read-back, `forward` is
 * `forwardOnce`, `record` is `recordAnswer`, `refuse` is the "not run" answer of a host that could not
 * settle its claim. A write whose answer was lost may also land late (`land`).
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
  /** Who holds the claim row, and whether the answer is recorded. */
  readonly claim: 'absent' | EntryName;
  readonly recorded: boolean;
  /** Claim writes that were sent and have not taken effect yet. */
  readonly late: readonly EntryName[];
  /** How often the target ran the request. */
  readonly runs: number;
  /** The host that forwarded the request last. */
  readonly forwardedBy: 'none' | EntryName;
  readonly a: EntryPhase;
  readonly b: EntryPhase;
}

type AtMostOnceEvent =
  | { readonly type: 'claim'; readonly entry: EntryName; readonly fate: 'told' | 'lost' | 'late' }
  | {
      readonly type: 'land' | 'settle' | 'refuse' | 'forward' | 'retry' | 'record' | 'crash';
      readonly entry: EntryName;
    };

/** Faults that can be planted in the model to show that the check finds them. */
export type AtMostOnceFault =
  | 'none'
  | 'no claim'
  | 'forward while unsettled'
  | 'retry after a cut'
  | 'crash frees the claim'
  | 'refuse after the forward';

const setPhase = (
  state: AtMostOnceState,
  entry: EntryName,
  phase: EntryPhase,
): AtMostOnceState => ({
  ...state,
  [entry]: phase,
});

/** What a host does when it finds the claim of another send. */
const handleExistingClaim = (state: AtMostOnceState, entry: EntryName): AtMostOnceState =>
  setPhase(state, entry, state.recorded ? 'replayed' : 'unknown');

const runRequest = (state: AtMostOnceState, entry: EntryName): AtMostOnceState =>
  setPhase({ ...state, runs: state.runs + 1, forwardedBy: entry }, entry, 'forwarded');

const transitions: Transitions<AtMostOnceState, AtMostOnceEvent, AtMostOnceFault> = {
  claim(state, { entry, fate }, fault) {
    if (state[entry] !== 'waiting') return state;
    if (fault === 'no claim') return setPhase(state, entry, 'claimed');
    if (fate === 'late') {
      return setPhase({ ...state, late: [...state.late, entry] }, entry, 'unsettled');
    }
    if (state.claim !== 'absent') {
      return fate === 'told'
        ? handleExistingClaim(state, entry)
        : setPhase(state, entry, 'unsettled');
    }
    return setPhase({ ...state, claim: entry }, entry, fate === 'told' ? 'claimed' : 'unsettled');
  },
  land(state, { entry }) {
    if (!state.late.includes(entry)) return state;
    const late = state.late.filter((name) => name !== entry);
    return { ...state, late, claim: state.claim === 'absent' ? entry : state.claim };
  },
  settle(state, { entry }) {
    if (state[entry] !== 'unsettled') return state;
    // The repeat carries the same token: it takes effect at most once, together with a late first.
    const late = state.late.filter((name) => name !== entry);
    const settled = { ...state, late, claim: state.claim === 'absent' ? entry : state.claim };
    return settled.claim === entry
      ? setPhase(settled, entry, 'claimed')
      : handleExistingClaim(settled, entry);
  },
  refuse(state, { entry }, fault) {
    const late = fault === 'refuse after the forward' && state[entry] === 'forwarded';
    return state[entry] === 'unsettled' || late ? setPhase(state, entry, 'refused') : state;
  },
  forward(state, { entry }, fault) {
    const early = fault === 'forward while unsettled' && state[entry] === 'unsettled';
    return state[entry] === 'claimed' || early ? runRequest(state, entry) : state;
  },
  retry(state, { entry }, fault) {
    const retried = fault === 'retry after a cut' && state[entry] === 'forwarded';
    return retried && state.runs < 3 ? runRequest(state, entry) : state;
  },
  record(state, { entry }) {
    if (state[entry] !== 'forwarded') return state;
    const recorded = state.recorded || state.claim === entry;
    return setPhase({ ...state, recorded }, entry, 'answered');
  },
  crash(state, { entry }, fault) {
    const freed = fault === 'crash frees the claim' && state.claim === entry && !state.recorded;
    return setPhase(freed ? { ...state, claim: 'absent' } : state, entry, 'crashed');
  },
};

/**
 * Builds the model.
 *
 * @param fault - fault to plant
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
    { type: 'claim', entry, fate: 'told' },
    { type: 'claim', entry, fate: 'lost' },
    { type: 'claim', entry, fate: 'late' },
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
    const falseRefusal = state.forwardedBy !== 'none' && state[state.forwardedBy] === 'refused';
    return falseRefusal ? 'a request that ran was told as not run' : undefined;
  },
});
