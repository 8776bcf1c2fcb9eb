/**
 * Model of chunk claim, commit, cancel and pause, with fencing numbers and lost answers.
 *
 * Two agents work on one chunk of one job. An agent is paused simply by taking no step. The lease is
 * abstracted: it may lapse at any moment, which is more than real clocks allow. Actions and the
 * functions that they stand for: `claim` is `claimChunk`, `run` is the worker that writes the results
 * object, `commit` and `repeat` are `commitChunk` with its settled repeat, `cancel` is `cancelJob`.
 */
import { applyStep, type Model, type Steps } from './exploreModel.js';

type AgentName = 'a' | 'b';

interface AgentState {
  /** Fencing number that the agent believes to hold; 0 when none. */
  readonly fencing: number;
  readonly phase: 'idle' | 'claimed' | 'ran' | 'sent' | 'told';
}

interface ChunkState {
  readonly job: 'open' | 'cancelled';
  readonly chunk: 'free' | 'claimed' | 'done';
  /** Fencing number in the chunk row. */
  readonly fencing: number;
  /** Fencing numbers whose results became visible, in order. */
  readonly visible: readonly number[];
  /** Whether a result became visible after the cancel was acknowledged. */
  readonly visibleAfterCancel: boolean;
  readonly a: AgentState;
  readonly b: AgentState;
}

type ChunkEvent =
  | { readonly type: 'claim' | 'run' | 'repeat' | 'crash'; readonly agent: AgentName }
  | { readonly type: 'commit'; readonly agent: AgentName; readonly answerLost: boolean }
  | { readonly type: 'cancel' };

/** Faults that can be planted in the model to show that the check finds them. */
export type ChunkFault = 'none' | 'no fencing check' | 'no job check' | 'repeat without token';

const MAX_CLAIMS = 3;

const setAgent = (state: ChunkState, name: AgentName, agent: AgentState): ChunkState => ({
  ...state,
  [name]: agent,
});

const idle: AgentState = { fencing: 0, phase: 'idle' };

const makeVisible = (state: ChunkState, fencing: number): ChunkState => ({
  ...state,
  chunk: 'done',
  visible: [...state.visible, fencing],
  visibleAfterCancel: state.visibleAfterCancel || state.job === 'cancelled',
});

/** The conditional transaction of a commit: job open, chunk claimed with this fencing number. */
const commitHolds = (state: ChunkState, fencing: number, fault: ChunkFault): boolean => {
  const jobHolds = state.job === 'open' || fault === 'no job check';
  const chunkHolds = state.chunk === 'claimed' && state.fencing === fencing;
  return jobHolds && (chunkHolds || fault === 'no fencing check');
};

const steps: Steps<ChunkState, ChunkEvent, ChunkFault> = {
  claim(state, { agent }) {
    const free = state.job === 'open' && state.chunk !== 'done' && state.fencing < MAX_CLAIMS;
    if (!free || state[agent].phase !== 'idle') return state;
    const fencing = state.fencing + 1;
    const claimed: ChunkState = { ...state, chunk: 'claimed', fencing };
    return setAgent(claimed, agent, { fencing, phase: 'claimed' });
  },
  run(state, { agent }) {
    const holder = state[agent];
    return holder.phase === 'claimed' ? setAgent(state, agent, { ...holder, phase: 'ran' }) : state;
  },
  commit(state, { agent, answerLost }, fault) {
    const holder = state[agent];
    if (holder.phase !== 'ran') return state;
    const holds = commitHolds(state, holder.fencing, fault);
    const written = holds ? makeVisible(state, holder.fencing) : state;
    return setAgent(written, agent, { ...holder, phase: answerLost ? 'sent' : 'told' });
  },
  repeat(state, { agent }, fault) {
    const holder = state[agent];
    if (holder.phase !== 'sent') return state;
    // A repeat with the same token gets the outcome of the first and writes nothing.
    const again = fault === 'repeat without token' && commitHolds(state, holder.fencing, fault);
    const doneByMe = state.visible.includes(holder.fencing);
    const twice = fault === 'repeat without token' && doneByMe && state.job === 'open';
    const written = again || twice ? makeVisible(state, holder.fencing) : state;
    return setAgent(written, agent, { ...holder, phase: 'told' });
  },
  crash(state, { agent }) {
    return setAgent(state, agent, idle);
  },
  cancel(state) {
    return { ...state, job: 'cancelled' };
  },
};

/**
 * Builds the model.
 *
 * @param fault - fault to plant
 * @returns the model
 */
export const createChunkModel = (fault: ChunkFault): Model<ChunkState, ChunkEvent> => ({
  initial: {
    job: 'open',
    chunk: 'free',
    fencing: 0,
    visible: [],
    visibleAfterCancel: false,
    a: idle,
    b: idle,
  },
  events: [
    ...(['a', 'b'] as const).flatMap((agent): ChunkEvent[] => [
      { type: 'claim', agent },
      { type: 'run', agent },
      { type: 'commit', agent, answerLost: false },
      { type: 'commit', agent, answerLost: true },
      { type: 'repeat', agent },
      { type: 'crash', agent },
    ]),
    { type: 'cancel' },
  ],
  step: (state, event) => applyStep(steps, state, event, fault),
  violation(state) {
    if (state.visible.length > 1) return 'results of a chunk became visible twice';
    if (state.visibleAfterCancel) return 'results became visible after the cancel';
    return undefined;
  },
});
