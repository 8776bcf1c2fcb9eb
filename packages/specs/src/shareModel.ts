/**
 * Shares of an account's burst: lease, transfer, crash, lost message, pause and outage (design 5.2).
 *
 * Two holders, one home at a time and a burst of two units. Time passes in ticks: a share is valid for
 * two. A pause of a holder is a tick in which it does nothing, since its clock goes on.
 */
import type { Model } from './exploreModel.js';

/** A fault that the check must find. */
export type ShareFault = 'no-window' | 'counts-answer-only' | 'lapses-in-outage';

/** Units with the ticks that they still count. */
interface TimedUnits {
  readonly units: number;
  readonly left: number;
}

/** State of the model; lists are by holder. */
interface ShareState {
  readonly held: readonly TimedUnits[];
  /** What the home counts as given out. */
  readonly counted: readonly TimedUnits[];
  /** Units of an answer under way; nothing without one. It is dropped at the next tick. */
  readonly answers: readonly (number | null)[];
  readonly hasHome: boolean;
  /** Ticks for which shares of an earlier home may be in force. */
  readonly window: number;
  readonly isOutage: boolean;
  /** Ticks before a challenger may take over after an outage. */
  readonly unreadable: number;
}

type ShareEvent =
  | { readonly type: 'tick' | 'crash' | 'take over' | 'outage begins' | 'outage ends' }
  | { readonly type: 'ask'; readonly holder: number; readonly wanted: number }
  | { readonly type: 'deliver' | 'lose'; readonly holder: number };

const BURST = 2;

/** Validity of a share, and time that a new home waits. Unit: ticks. */
const VALID_TICKS = 2;

/** Ticks for which a holder keeps its share after an outage. */
const EXTENSION_TICKS = 3;

/** Ticks for which a challenger must have read the table. */
const READABLE_TICKS = 1;

const noUnits: TimedUnits = { units: 0, left: 0 };

const initial: ShareState = {
  held: [noUnits, noUnits],
  counted: [noUnits, noUnits],
  answers: [null, null],
  hasHome: true,
  window: 0,
  isOutage: false,
  unreadable: 0,
};

const replaceAt = <Item>(items: readonly Item[], index: number, item: Item): Item[] =>
  items.map((other, at) => (at === index ? item : other));

const expireTick = ({ units, left }: TimedUnits): TimedUnits =>
  left > 1 ? { units, left: left - 1 } : noUnits;

const extend = ({ units }: TimedUnits): TimedUnits =>
  units > 0 ? { units, left: EXTENSION_TICKS } : noUnits;

const sumUnits = (items: readonly TimedUnits[]): number =>
  items.reduce((sum, { units }) => sum + units, 0);

const computeGrant = (state: ShareState, holder: number, wanted: number): number => {
  const stated = state.held[holder]?.units ?? 0;
  if (state.window > 0) return Math.min(stated, wanted);
  const others = sumUnits(state.counted) - (state.counted[holder]?.units ?? 0);
  return Math.max(0, Math.min(wanted, BURST - others));
};

const requestShare = (
  state: ShareState,
  holder: number,
  wanted: number,
  fault: ShareFault | undefined,
): ShareState => {
  if (!state.hasHome || state.answers[holder] !== null) return state;
  const granted = computeGrant(state, holder, wanted);
  const stated = state.held[holder]?.units ?? 0;
  const units = fault === 'counts-answer-only' ? granted : Math.max(stated, granted);
  // After an outage the home lets nothing lapse before the extension of the holders has ended.
  const left = Math.max(VALID_TICKS, state.counted[holder]?.left ?? 0);
  return {
    ...state,
    counted: replaceAt(state.counted, holder, units > 0 ? { units, left } : noUnits),
    answers: replaceAt(state.answers, holder, granted),
  };
};

const deliverResponse = (state: ShareState, holder: number): ShareState => {
  const units = state.answers[holder] ?? null;
  if (units === null) return state;
  const share = units > 0 ? { units, left: VALID_TICKS } : noUnits;
  return {
    ...state,
    held: replaceAt(state.held, holder, share),
    answers: replaceAt(state.answers, holder, null),
  };
};

const tick = (state: ShareState, fault: ShareFault | undefined): ShareState => {
  const dropped = { ...state, answers: [null, null] };
  // In an outage holders keep their shares, and a home lets none lapse.
  if (state.isOutage) {
    return fault === 'lapses-in-outage'
      ? { ...dropped, counted: state.counted.map(expireTick) }
      : dropped;
  }
  return {
    ...dropped,
    held: state.held.map(expireTick),
    counted: state.counted.map(expireTick),
    window: Math.max(0, state.window - 1),
    unreadable: Math.max(0, state.unreadable - 1),
  };
};

const crash = (state: ShareState): ShareState =>
  state.hasHome ? { ...state, hasHome: false, counted: [noUnits, noUnits], window: 0 } : state;

const takeOver = (state: ShareState, fault: ShareFault | undefined): ShareState => {
  if (state.hasHome || state.isOutage || state.unreadable > 0) return state;
  return { ...state, hasHome: true, window: fault === 'no-window' ? 0 : VALID_TICKS };
};

const endOutage = (state: ShareState): ShareState =>
  state.isOutage
    ? {
        ...state,
        isOutage: false,
        held: state.held.map(extend),
        counted: state.counted.map(extend),
        window: state.window > 0 ? EXTENSION_TICKS : 0,
        unreadable: READABLE_TICKS,
      }
    : state;

/**
 * Builds the model.
 *
 * @param fault - fault to plant
 * @returns the model
 */
export const createShareModel = (fault?: ShareFault): Model<ShareState, ShareEvent> => ({
  initial,
  events: [
    { type: 'tick' },
    { type: 'crash' },
    { type: 'take over' },
    { type: 'outage begins' },
    { type: 'outage ends' },
    ...[0, 1].flatMap((holder): ShareEvent[] => [
      { type: 'ask', holder, wanted: 0 },
      { type: 'ask', holder, wanted: 1 },
      { type: 'ask', holder, wanted: 2 },
      { type: 'deliver', holder },
      { type: 'lose', holder },
    ]),
  ],
  transition(state, event) {
    const handlers: Record<ShareEvent['type'], () => ShareState> = {
      tick: () => tick(state, fault),
      crash: () => crash(state),
      'take over': () => takeOver(state, fault),
      'outage begins': () => ({ ...state, isOutage: true }),
      'outage ends': () => endOutage(state),
      ask: () =>
        event.type === 'ask' ? requestShare(state, event.holder, event.wanted, fault) : state,
      deliver: () => ('holder' in event ? deliverResponse(state, event.holder) : state),
      lose: () =>
        'holder' in event
          ? { ...state, answers: replaceAt(state.answers, event.holder, null) }
          : state,
    };
    return handlers[event.type]();
  },
  findViolation({ held, answers }) {
    const most = held.map(({ units }, holder) => Math.max(units, answers[holder] ?? 0));
    const sum = most.reduce((left, right) => left + right, 0);
    return sum > BURST ? 'shares exceed the burst' : undefined;
  },
});
