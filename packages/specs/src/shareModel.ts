/**
 * Model of the shares of an account's burst, with leases, takeovers, crashes, lost messages, pauses and
 * outages (design 5.2).
 *
 * There are two holders, at most one home at a time and a burst of two units. Time passes in ticks; a share
 * is valid for two of them. A paused holder does nothing in a tick, while its clock keeps running.
 */
import type { Model } from './exploreModel.js';

/** Faults that can be injected to verify that the check detects them. */
export type ShareFault = 'no-window' | 'counts-answer-only' | 'lapses-in-outage';

/** Units, with the number of ticks until they expire. */
interface TimedUnits {
  readonly units: number;
  readonly ticksLeft: number;
}

/** State of the model; arrays are indexed by holder. */
interface ShareState {
  readonly held: readonly TimedUnits[];
  /** Units that the home counts as granted. */
  readonly counted: readonly TimedUnits[];
  /** Units in a response in transit, or null. The response is lost at the next tick. */
  readonly responses: readonly (number | null)[];
  readonly hasHome: boolean;
  /** Ticks for which shares of a previous home may still be valid. */
  readonly window: number;
  readonly isOutage: boolean;
  /** Ticks until a process may take over the home after an outage. */
  readonly takeoverDelay: number;
}

type ShareEvent =
  | { readonly type: 'tick' | 'crash' | 'take over' | 'outage begins' | 'outage ends' }
  | { readonly type: 'ask'; readonly holder: number; readonly wanted: number }
  | { readonly type: 'deliver' | 'lose'; readonly holder: number };

const BURST = 2;

/** Validity of a share, and time for which a new home only confirms existing shares. Unit: ticks. */
const VALID_TICKS = 2;

/** Validity of a share after an outage. Unit: ticks. */
const EXTENSION_TICKS = 3;

/** Time for which a process must have read the table before it takes over. Unit: ticks. */
const READABLE_TICKS = 1;

const noUnits: TimedUnits = { units: 0, ticksLeft: 0 };

const initial: ShareState = {
  held: [noUnits, noUnits],
  counted: [noUnits, noUnits],
  responses: [null, null],
  hasHome: true,
  window: 0,
  isOutage: false,
  takeoverDelay: 0,
};

const replaceAt = <Item>(items: readonly Item[], index: number, item: Item): Item[] =>
  items.map((current, position) => (position === index ? item : current));

const expireTick = ({ units, ticksLeft }: TimedUnits): TimedUnits =>
  ticksLeft > 1 ? { units, ticksLeft: ticksLeft - 1 } : noUnits;

const extend = ({ units }: TimedUnits): TimedUnits =>
  units > 0 ? { units, ticksLeft: EXTENSION_TICKS } : noUnits;

const sumUnits = (items: readonly TimedUnits[]): number =>
  items.reduce((sum, { units }) => sum + units, 0);

const computeGrant = (state: ShareState, holder: number, wanted: number): number => {
  const current = state.held[holder]?.units ?? 0;
  if (state.window > 0) return Math.min(current, wanted);
  const others = sumUnits(state.counted) - (state.counted[holder]?.units ?? 0);
  return Math.max(0, Math.min(wanted, BURST - others));
};

const requestShare = (
  state: ShareState,
  holder: number,
  wanted: number,
  fault: ShareFault | undefined,
): ShareState => {
  if (!state.hasHome || state.responses[holder] !== null) return state;
  const granted = computeGrant(state, holder, wanted);
  const current = state.held[holder]?.units ?? 0;
  const units = fault === 'counts-answer-only' ? granted : Math.max(current, granted);
  // After an outage the home keeps counting units until the extended shares of the holders expire.
  const ticksLeft = Math.max(VALID_TICKS, state.counted[holder]?.ticksLeft ?? 0);
  return {
    ...state,
    counted: replaceAt(state.counted, holder, units > 0 ? { units, ticksLeft } : noUnits),
    responses: replaceAt(state.responses, holder, granted),
  };
};

const deliverResponse = (state: ShareState, holder: number): ShareState => {
  const units = state.responses[holder] ?? null;
  if (units === null) return state;
  const share = units > 0 ? { units, ticksLeft: VALID_TICKS } : noUnits;
  return {
    ...state,
    held: replaceAt(state.held, holder, share),
    responses: replaceAt(state.responses, holder, null),
  };
};

const tick = (state: ShareState, fault: ShareFault | undefined): ShareState => {
  const withoutResponses = { ...state, responses: [null, null] };
  // In an outage holders keep their shares, and a home keeps counting them.
  if (state.isOutage) {
    return fault === 'lapses-in-outage'
      ? { ...withoutResponses, counted: state.counted.map(expireTick) }
      : withoutResponses;
  }
  return {
    ...withoutResponses,
    held: state.held.map(expireTick),
    counted: state.counted.map(expireTick),
    window: Math.max(0, state.window - 1),
    takeoverDelay: Math.max(0, state.takeoverDelay - 1),
  };
};

const crash = (state: ShareState): ShareState =>
  state.hasHome ? { ...state, hasHome: false, counted: [noUnits, noUnits], window: 0 } : state;

const takeOver = (state: ShareState, fault: ShareFault | undefined): ShareState => {
  if (state.hasHome || state.isOutage || state.takeoverDelay > 0) return state;
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
        takeoverDelay: READABLE_TICKS,
      }
    : state;

/**
 * Creates the model.
 *
 * @param fault - fault to inject
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
          ? { ...state, responses: replaceAt(state.responses, event.holder, null) }
          : state,
    };
    return handlers[event.type]();
  },
  findViolation({ held, responses }) {
    const possibleUnits = held.map(({ units }, holder) => Math.max(units, responses[holder] ?? 0));
    const sum = possibleUnits.reduce((left, right) => left + right, 0);
    return sum > BURST ? 'shares exceed the burst' : undefined;
  },
});
