/**
 * Model of claiming, committing and cancelling a chunk, with fencing numbers, pauses and lost responses.
 *
 * Two agents work on one chunk of one job. A paused agent is one that takes no step. Leases are abstracted:
 * they may expire at any time, which allows more schedules than real clocks do. Events: `claim` is
 * `ChunkStore.claim`, `run` writes the results object, `commit` is the first attempt of
 * `ChunkStore.commit` and `repeat` its retry, `cancel` is `JobStore.cancel`.
 */
import { applyTransition, type Model, type Transitions } from './exploreModel.js';

type AgentName = 'a' | 'b';

interface AgentState {
  /** Fencing number of the claim that the agent believes it holds; 0 when none. */
  readonly fencing: number;
  /** `sent`: the response to the commit was lost; `told`: the agent received it. */
  readonly phase: 'idle' | 'claimed' | 'ran' | 'sent' | 'told';
}

interface ChunkCommitState {
  readonly job: 'open' | 'cancelled';
  readonly chunk: 'free' | 'claimed' | 'done';
  /** Fencing number in the chunk row. */
  readonly fencing: number;
  /** Fencing numbers whose results became visible, in order. */
  readonly visible: readonly number[];
  /** Whether a result became visible after the cancellation was acknowledged. */
  readonly visibleAfterCancel: boolean;
  readonly a: AgentState;
  readonly b: AgentState;
}

type ChunkCommitEvent =
  | { readonly type: 'claim' | 'run' | 'repeat' | 'crash'; readonly agent: AgentName }
  | { readonly type: 'commit'; readonly agent: AgentName; readonly isResponseLost: boolean }
  | { readonly type: 'cancel' };

/** Faults that can be injected to verify that the check detects them. */
export type ChunkCommitFault = 'none' | 'no fencing check' | 'no job check' | 'retry without token';

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

/** Checks the conditions of a commit: the job is open and the chunk is claimed with this fencing number. */
const isCommitAccepted = (
  state: ChunkCommitState,
  fencing: number,
  fault: ChunkCommitFault,
): boolean => {
  const isJobOpen = state.job === 'open' || fault === 'no job check';
  const isChunkClaimed = state.chunk === 'claimed' && state.fencing === fencing;
  return isJobOpen && (isChunkClaimed || fault === 'no fencing check');
};

const transitions: Transitions<ChunkCommitState, ChunkCommitEvent, ChunkCommitFault> = {
  claim(state, { agent }) {
    const isClaimable =
      state.job === 'open' && state.chunk !== 'done' && state.fencing < MAX_CLAIMS;
    if (!isClaimable || state[agent].phase !== 'idle') return state;
    const fencing = state.fencing + 1;
    const claimed: ChunkCommitState = { ...state, chunk: 'claimed', fencing };
    return setAgent(claimed, agent, { fencing, phase: 'claimed' });
  },
  run(state, { agent }) {
    const holder = state[agent];
    return holder.phase === 'claimed' ? setAgent(state, agent, { ...holder, phase: 'ran' }) : state;
  },
  commit(state, { agent, isResponseLost }, fault) {
    const holder = state[agent];
    if (holder.phase !== 'ran') return state;
    const isAccepted = isCommitAccepted(state, holder.fencing, fault);
    const written = isAccepted ? publishResults(state, holder.fencing) : state;
    return setAgent(written, agent, { ...holder, phase: isResponseLost ? 'sent' : 'told' });
  },
  repeat(state, { agent }, fault) {
    const holder = state[agent];
    if (holder.phase !== 'sent') return state;
    // A retry with the same token gets the outcome of the first attempt and writes nothing.
    const isAccepted =
      fault === 'retry without token' && isCommitAccepted(state, holder.fencing, fault);
    const isPublished = state.visible.includes(holder.fencing);
    const isPublishedAgain = fault === 'retry without token' && isPublished && state.job === 'open';
    const written = isAccepted || isPublishedAgain ? publishResults(state, holder.fencing) : state;
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
 * Creates the model.
 *
 * @param fault - fault to inject
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
      { type: 'commit', agent, isResponseLost: false },
      { type: 'commit', agent, isResponseLost: true },
      { type: 'repeat', agent },
      { type: 'crash', agent },
    ]),
    { type: 'cancel' },
  ],
  transition: (state, event) => applyTransition(transitions, state, event, fault),
  findViolation(state) {
    if (state.visible.length > 1) return 'results of a chunk became visible twice';
    if (state.visibleAfterCancel) return 'results became visible after the cancellation';
    return undefined;
  },
});
