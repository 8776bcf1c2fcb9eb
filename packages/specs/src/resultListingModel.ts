/**
 * Model of the listing of batch results, with takeovers, an end by the caller, and lost or late answers.
 *
 * Two hosts run the two items of one job. A host is paused simply by taking no step, and may take the job over
 * at any moment, which is more than reports allow. Actions and the functions that they stand for: `finish` is
 * `HeldJob.finish`, `write` is `JobStore.list`, `apply` is a write that the store applies after its answer
 * was given up, `hear` is `HeldJob.take` with what the store's feed brings, `takeOver` is
 * `HeldJobs.takeOver`, `end` is `JobStore.end`.
 */
import { applyTransition, type Model, type Transitions } from './exploreModel.js';

type HostName = 'a' | 'b';

/** The job's row. */
interface JobRow {
  readonly revision: number;
  readonly holder: HostName;
  /** Items in the order of their results. */
  readonly listed: readonly number[];
  readonly ended: boolean;
}

interface Write {
  /** Revision that the row must have. */
  readonly condition: number;
  readonly listed: readonly number[];
}

interface HostState {
  /** The row as the host knows it. */
  readonly known: JobRow;
  /** Items with a result that the host has not seen listed. */
  readonly finished: readonly number[];
  /** A write without an answer that may still be applied. */
  readonly pending: Write | null;
}

interface ResultListingState {
  readonly row: JobRow;
  readonly a: HostState;
  readonly b: HostState;
  /** Whether a result was listed after the end was acknowledged. */
  readonly listedAfterEnd: boolean;
}

type ResultListingEvent =
  | { readonly type: 'finish'; readonly host: HostName; readonly item: number }
  | { readonly type: 'write'; readonly host: HostName; readonly answer: 'lost' | 'late' }
  | { readonly type: 'apply' | 'hear' | 'takeOver'; readonly host: HostName }
  | { readonly type: 'end' };

/** Faults that can be planted in the model to show that the check finds them. */
export type ResultListingFault =
  'none' | 'no revision check' | 'keeps what is listed' | 'ignores the end';

const ITEMS = [0, 1] as const;

/** Revisions after which nobody takes over, so that the model stays small. */
const MAX_REVISIONS = 3;

const setHost = (
  state: ResultListingState,
  name: HostName,
  host: HostState,
): ResultListingState => ({
  ...state,
  [name]: host,
});

const holdsJob = (name: HostName, { holder, ended }: JobRow, fault: ResultListingFault): boolean =>
  holder === name && (!ended || fault === 'ignores the end');

/** What a host believes after it has seen a state of the row. */
const applyRow = (host: HostState, row: JobRow, fault: ResultListingFault): HostState => {
  if (row.revision <= host.known.revision) return host;
  const finished =
    fault === 'keeps what is listed'
      ? host.finished
      : host.finished.filter((item) => !row.listed.includes(item));
  return { ...host, known: row, finished };
};

/** The conditional transaction of a listing. */
const applyWrite = (
  state: ResultListingState,
  write: Write,
  fault: ResultListingFault,
): ResultListingState => {
  const { row } = state;
  if (row.revision !== write.condition && fault !== 'no revision check') return state;
  return {
    ...state,
    row: { ...row, revision: row.revision + 1, listed: [...row.listed, ...write.listed] },
    listedAfterEnd: state.listedAfterEnd || row.ended,
  };
};

const transitions: Transitions<ResultListingState, ResultListingEvent, ResultListingFault> = {
  finish(state, { host: name, item }, fault) {
    const host = state[name];
    const isOpen = !host.known.listed.includes(item) && !host.finished.includes(item);
    if (!isOpen || !holdsJob(name, host.known, fault)) return state;
    return setHost(state, name, { ...host, finished: [...host.finished, item].sort() });
  },
  write(state, { host: name, answer }, fault) {
    const host = state[name];
    const { known, finished, pending } = host;
    if (finished.length === 0 || pending || !holdsJob(name, known, fault)) return state;
    const write: Write = { condition: known.revision, listed: finished };
    if (answer === 'late') return setHost(state, name, { ...host, pending: write });
    // Without an answer the host repeats the write until the row tells what became of it.
    return applyWrite(state, write, fault);
  },
  apply(state, { host: name }, fault) {
    const { pending } = state[name];
    if (!pending) return state;
    return applyWrite(setHost(state, name, { ...state[name], pending: null }), pending, fault);
  },
  hear(state, { host: name }, fault) {
    return setHost(state, name, applyRow(state[name], state.row, fault));
  },
  takeOver(state, { host: name }, fault) {
    const { row } = state;
    const { known } = state[name];
    const isPossible = known.revision === row.revision && row.holder !== name && !row.ended;
    if (!isPossible || row.revision >= MAX_REVISIONS) return state;
    const taken: JobRow = { ...row, revision: row.revision + 1, holder: name };
    return setHost({ ...state, row: taken }, name, applyRow(state[name], taken, fault));
  },
  end(state) {
    const { row } = state;
    if (row.ended) return state;
    return { ...state, row: { ...row, revision: row.revision + 1, ended: true } };
  },
};

/**
 * Builds the model.
 *
 * @param fault - fault to plant
 * @returns the model
 */
export const createResultListingModel = (
  fault: ResultListingFault,
): Model<ResultListingState, ResultListingEvent> => {
  const row: JobRow = { revision: 1, holder: 'a', listed: [], ended: false };
  const host: HostState = { known: row, finished: [], pending: null };
  return {
    initial: { row, a: host, b: host, listedAfterEnd: false },
    events: [
      ...(['a', 'b'] as const).flatMap((name): ResultListingEvent[] => [
        ...ITEMS.map((item): ResultListingEvent => ({ type: 'finish', host: name, item })),
        { type: 'write', host: name, answer: 'lost' },
        { type: 'hear', host: name },
        { type: 'takeOver', host: name },
      ]),
      // One host with late writes keeps the model small; an answered write is a lost answer and a `hear`.
      { type: 'write', host: 'a', answer: 'late' },
      { type: 'apply', host: 'a' },
      { type: 'end' },
    ],
    transition: (state, event) => applyTransition(transitions, state, event, fault),
    findViolation({ row: { listed }, listedAfterEnd }) {
      if (new Set(listed).size < listed.length) return 'an item has two results';
      if (listedAfterEnd) return 'a result was listed after the end';
      return undefined;
    },
  };
};
