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
  step(state: State, event: Event): State;
  /**
   * Checks what must always hold.
   *
   * @param state - a reachable state
   * @returns a description of the violation, or nothing
   */
  violation(state: State): string | undefined;
}

type EventOf<Event extends EventObject, Type extends Event['type']> = Event extends {
  readonly type: infer Types;
}
  ? Type extends Types
    ? Event
    : never
  : never;

/** The actions of a model by event; `fault` names the planted fault. */
export type Steps<State, Event extends EventObject, Fault> = {
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
export const applyStep = <State, Event extends EventObject, Fault>(
  steps: Steps<State, Event, Fault>,
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

/** Larger models take minutes; a model that reaches the limit must be made smaller. */
const MAX_STATES = 50_000;

/**
 * Visits every reachable state of a model.
 *
 * @param model - the model
 * @returns the number of states and the violations
 * @throws Error when the model has more states than can be explored
 */
export const exploreModel = <State, Event extends EventObject>(
  model: Model<State, Event>,
): Exploration => {
  const logic = fromTransition(
    (state: State, event: Event) => model.step(state, event),
    model.initial,
  );
  const map = getAdjacencyMap(logic, {
    events: [...model.events],
    limit: MAX_STATES,
    serializeState: (snapshot) => JSON.stringify(snapshot.context),
  });
  const states = Object.values(map).map(({ state }) => state.context as State);
  const violations = new Set(
    states.flatMap((state) => {
      const violation = model.violation(state);
      return violation === undefined ? [] : [violation];
    }),
  );
  return { states: states.length, violations: [...violations] };
};
