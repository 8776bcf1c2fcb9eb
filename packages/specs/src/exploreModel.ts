/** Exhaustive exploration of a small model, with the graph utilities of XState. */
import { fromTransition, type EventObject } from 'xstate';
import { getAdjacencyMap } from 'xstate/graph';

/** A model of a protocol: an initial state, events, transitions and an invariant. */
export interface Model<State, Event extends EventObject> {
  readonly initial: State;
  /** Events that are tried in every state; an event without effect adds no state. */
  readonly events: readonly Event[];
  /**
   * Returns the next state, or the same state when the event cannot happen in it.
   *
   * @param state - current state; not modified
   * @param event - event to apply
   * @returns the next state
   */
  transition(state: State, event: Event): State;
  /**
   * Checks the invariant of the model.
   *
   * @param state - a reachable state
   * @returns a description of the violation, or `undefined`
   */
  findViolation(state: State): string | undefined;
}

type EventOf<Event extends EventObject, Type extends Event['type']> = Event extends {
  readonly type: infer EventType;
}
  ? Type extends EventType
    ? Event
    : never
  : never;

/** Transitions of a model by event type; `fault` is the injected fault. */
export type Transitions<State, Event extends EventObject, Fault> = {
  readonly [Type in Event['type']]: (
    state: State,
    event: EventOf<Event, Type>,
    fault: Fault,
  ) => State;
};

/**
 * Applies the transition for an event.
 *
 * @param transitions - transitions by event type
 * @param state - current state
 * @param event - event to apply
 * @param fault - injected fault
 * @returns the next state
 */
export const applyTransition = <State, Event extends EventObject, Fault>(
  transitions: Transitions<State, Event, Fault>,
  state: State,
  event: Event,
  fault: Fault,
): State => {
  // Each transition accepts only its own event; the compiler cannot relate the two through the look-up by type.
  const transition = transitions[event.type as Event['type']] as (
    s: State,
    e: Event,
    f: Fault,
  ) => State;
  return transition(state, event, fault);
};

/** Outcome of an exploration. */
export interface Exploration {
  /** Number of reachable states. */
  readonly states: number;
  /** Distinct violations. */
  readonly violations: readonly string[];
}

/** Maximum number of states; a larger model takes too long to check with each build. */
const MAX_STATES = 50_000;

/**
 * Visits every reachable state of a model.
 *
 * @param model - the model
 * @returns the number of states and the violations
 * @throws Error when the model exceeds the maximum number of states
 */
export const exploreModel = <State, Event extends EventObject>(
  model: Model<State, Event>,
): Exploration => {
  const logic = fromTransition(
    (state: State, event: Event) => model.transition(state, event),
    model.initial,
  );
  const map = getAdjacencyMap(logic, {
    events: [...model.events],
    // The limit counts transitions, not states.
    limit: MAX_STATES * model.events.length,
    // States after a violation add nothing to the result.
    stopWhen: ({ context }) => model.findViolation(context) !== undefined,
    serializeState: ({ context }) => JSON.stringify(context),
  });
  const states = Object.values(map).map(({ state }) => state.context as State);
  if (states.length > MAX_STATES)
    throw new Error(`${states.length} states are too many to explore`);
  const violations = states.flatMap((state) => model.findViolation(state) ?? []);
  return { states: states.length, violations: [...new Set(violations)] };
};
