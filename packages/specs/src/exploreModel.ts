/** Exhaustive exploration of a small model, by the graph tools of xstate. */
import { fromTransition, type EventObject } from 'xstate';
import { getAdjacencyMap } from 'xstate/graph';

/** A model of a protocol: a state, the events that may happen in it, and what must always hold. */
export interface Model<State, Event extends EventObject> {
  readonly initial: State;
  /** Events that may happen in a state; an event without effect is explored once. */
  readonly events: readonly Event[];
  /**
   * Gives the next state. An event that cannot happen returns the state itself.
   *
   * @param state - current state, never changed in place
   * @param event - what happens
   * @returns the next state
   */
  transition(state: State, event: Event): State;
  /**
   * Checks what must always hold.
   *
   * @param state - a reachable state
   * @returns a description of the violation, or nothing
   */
  findViolation(state: State): string | undefined;
}

type EventOf<Event extends EventObject, Type extends Event['type']> = Event extends {
  readonly type: infer Types;
}
  ? Type extends Types
    ? Event
    : never
  : never;

/** The actions of a model by event; `fault` names the planted fault. */
export type Transitions<State, Event extends EventObject, Fault> = {
  readonly [Type in Event['type']]: (
    state: State,
    event: EventOf<Event, Type>,
    fault: Fault,
  ) => State;
};

/**
 * Looks up the action of an event and applies it.
 *
 * @param steps - actions by event
 * @param state - current state
 * @param event - what happens
 * @param fault - the planted fault
 * @returns the next state
 */
export const applyTransition = <State, Event extends EventObject, Fault>(
  steps: Transitions<State, Event, Fault>,
  state: State,
  event: Event,
  fault: Fault,
): State => {
  // Each entry takes its own event; the compiler cannot follow the look-up by type.
  const action = steps[event.type as Event['type']] as (s: State, e: Event, f: Fault) => State;
  return action(state, event, fault);
};

/** Outcome of an exploration. */
export interface Exploration {
  /** Reachable states. */
  readonly states: number;
  /** Distinct violations found, each once. */
  readonly violations: readonly string[];
}

/** Largest number of states; a model beyond it is too large to be checked with each build. */
const MAX_STATES = 50_000;

/**
 * Visits every reachable state of a model.
 *
 * @param model - the model
 * @returns the number of states and the violations
 * @throws Error when the model has more states than the largest number
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
    // The library counts transitions.
    limit: MAX_STATES * model.events.length,
    // What follows a violation adds states and tells nothing.
    stopWhen: ({ context }) => model.findViolation(context) !== undefined,
    serializeState: ({ context }) => JSON.stringify(context),
  });
  const states = Object.values(map).map(({ state }) => state.context as State);
  if (states.length > MAX_STATES) throw new Error(`${states.length} states`);
  const violations = states.flatMap((state) => model.findViolation(state) ?? []);
  return { states: states.length, violations: [...new Set(violations)] };
};
