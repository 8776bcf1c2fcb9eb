/** Explores every state of a small model and looks for one that breaks a rule. */
import { fromTransition } from 'xstate';
import { getAdjacencyMap } from 'xstate/graph';

/** A model: a start, events and a step. */
export interface Model<State extends object, Event extends { type: string }> {
  readonly initial: State;
  readonly events: readonly Event[];

  /**
   * Computes the next state.
   *
   * @param state - present state
   * @param event - what happens; one that cannot happen leaves the state as it is
   * @returns the next state
   */
  step(state: State, event: Event): State;

  /**
   * Checks a state.
   *
   * @param state - a state that can be reached
   * @returns the rule that it breaks, if any
   */
  brokenRule(state: State): string | undefined;
}

/** What an exploration found. */
export interface Exploration {
  /** Number of states. */
  readonly states: number;
  /** Rules that some state breaks. */
  readonly broken: readonly string[];
}

/** Largest number of states; a model beyond it is too large to be checked with each build. */
const MAX_STATES = 50_000;

/**
 * Explores a model.
 *
 * @param model - the model
 * @returns the number of states and the rules that are broken
 * @throws when the model has more states than the largest number
 */
export const explore = <State extends object, Event extends { type: string }>(
  model: Model<State, Event>,
): Exploration => {
  const logic = fromTransition(
    (state: State, event: Event) => model.step(state, event),
    model.initial,
  );
  const map = getAdjacencyMap(logic, {
    events: model.events,
    // The library counts transitions.
    limit: MAX_STATES * model.events.length,
    // What follows a broken rule adds states and tells nothing.
    stopWhen: ({ context }) => model.brokenRule(context) !== undefined,
    serializeState: ({ context }) => JSON.stringify(context),
  });
  const states = Object.values(map).map(({ state }) => state.context as State);
  if (states.length > MAX_STATES) throw new Error(`${states.length} states`);
  const broken = states.flatMap((state) => model.brokenRule(state) ?? []);
  return { states: states.length, broken: [...new Set(broken)] };
};
