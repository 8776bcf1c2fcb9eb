/**
 * Model of chunk claim, commit, cancel and pause, with fencing numbers and lost answers.
 *
 * Two agents work on one chunk of one job. An agent is paused simply by taking no step. The lease is
 * abstracted: it may lapse at any moment, which is more than real clocks allow. Actions and the
 * functions that they stand for: `claim` is `claimChunk`, `run` is the worker that writes the results
 * object, `commit` and `repeat` are `commitChunk` with its settled repeat, `cancel` is `cancelJob`.
 */
import { applyTransition, type Model, type Transitions } from './exploreModel.js';

type AgentName = 'a' | 'b';

interface AgentState {
  /** Fencing number that the agent believes to hold; 0 when none. */
  readonly fencing: number;
  readonly phase: 'idle' | 'claimed' | 'ran' | 'sent' | 'told';
}

interface ChunkCommitState {
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

type ChunkCommitEvent =
  | { readonly type: 'claim' | 'run' | 'repeat' | 'crash'; readonly agent: AgentName }
  | { readonly type: 'commit'; readonly agent: AgentName; readonly answerLost: boolean }
  | { readonly type: 'cancel' };

/** Faults that can be planted in the model to show that the check finds them. */
export type ChunkCommitFault =
  'none' | 'no fencing check' | 'no job check' | 'repeat without token';

const MAX_CLAIMS = 3;

const setAgent = (
  state: ChunkCommitState,
  name: AgentName,
  agent: AgentState,
): ChunkCommitState => ({
  ...state,
  [name]: agent,
});

const idle: AgentState = { fencing: 0, phase: 'idle' };

const publishResults = (state: ChunkCommitState, fencing: number): ChunkCommitState => ({
  ...state,
  chunk: 'done',
  visible: [...state.visible, fencing],
  visibleAfterCancel: state.visibleAfterCancel || state.job === 'cancelled',
});

/** The conditional transaction of a commit: job open, chunk claimed with this fencing number. */
const isCommitAccepted = (
  state: ChunkCommitState,
  fencing: number,
  fault: ChunkCommitFault,
): boolean => {
  const jobHolds = state.job === 'open' || fault === 'no job check';
  const chunkHolds = state.chunk === 'claimed' && state.fencing === fencing;
  return jobHolds && (chunkHolds || fault === 'no fencing check');
};

const transitions: Transitions<ChunkCommitState, ChunkCommitEvent, ChunkCommitFault> = {
  claim(state, { agent }) {
    const free = state.job === 'open' && state.chunk !== 'done' && state.fencing < MAX_CLAIMS;
    if (!free || state[agent].phase !== 'idle') return state;
    const fencing = state.fencing + 1;
    const claimed: ChunkCommitState = { ...state, chunk: 'claimed', fencing };
    return setAgent(claimed, agent, { fencing, phase: 'claimed' });
  },
  run(state, { agent }) {
    const holder = state[agent];
    return holder.phase === 'claimed' ? setAgent(state, agent, { ...holder, phase: 'ran' }) : state;
  },
  commit(state, { agent, answerLost }, fault) {
    const holder = state[agent];
    if (holder.phase !== 'ran') return state;
    const holds = isCommitAccepted(state, holder.fencing, fault);
    const written = holds ? publishResults(state, holder.fencing) : state;
    return setAgent(written, agent, { ...holder, phase: answerLost ? 'sent' : 'told' });
  },
  repeat(state, { agent }, fault) {
    const holder = state[agent];
    if (holder.phase !== 'sent') return state;
    // A repeat with the same token gets the outcome of the first and writes nothing.
    const again =
      fault === 'repeat without token' && isCommitAccepted(state, holder.fencing, fault);
    const doneByMe = state.visible.includes(holder.fencing);
    const twice = fault === 'repeat without token' && doneByMe && state.job === 'open';
    const written = again || twice ? publishResults(state, holder.fencing) : state;
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
export const createChunkCommitModel = (
  fault: ChunkCommitFault,
): Model<ChunkCommitState, ChunkCommitEvent> => ({
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
    ...(['a', 'b'] as const).flatMap((agent): ChunkCommitEvent[] => [
      { type: 'claim', agent },
      { type: 'run', agent },
      { type: 'commit', agent, answerLost: false },
      { type: 'commit', agent, answerLost: true },
      { type: 'repeat', agent },
      { type: 'crash', agent },
    ]),
    { type: 'cancel' },
  ],
  transition: (state, event) => applyTransition(transitions, state, event, fault),
  findViolation(state) {
    if (state.visible.length > 1) return 'results of a chunk became visible twice';
    if (state.visibleAfterCancel) return 'results became visible after the cancel';
    return undefined;
  },
});
