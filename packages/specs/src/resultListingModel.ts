/**
 * Model of listing batch results, with takeovers, a job that its caller ends, and lost or late responses.
 *
 * Two hosts run the two items of one job. A host is paused while none of its events occurs. A host may take
 * the job over at any time, which allows more interleavings than takeovers based on load reports. Events:
 * `finish` is `HeldJob.finish`, `write` is `JobStore.appendResults`, `apply` is a write that the store
 * applies after the host stopped waiting for the response, `hear` is `HeldJob.applyState` with a change
 * from the store's feed, `takeOver` is the takeover by `HeldJobs`, `end` is `JobStore.end`.
 */
import { applyTransition, type Model, type Transitions } from './exploreModel.js';

type HostName = 'a' | 'b';

/** Row of the job in the store. */
interface JobRow {
  readonly revision: number;
  readonly holder: HostName;
  /** Items, in the order in which their results were listed. */
  readonly listed: readonly number[];
  readonly ended: boolean;
}

interface Write {
  /** Required revision of the row. */
  readonly condition: number;
  readonly listed: readonly number[];
}

interface HostState {
  /** Latest state of the row that the host knows. */
  readonly known: JobRow;
  /** Items with a result that, as far as the host knows, is not listed yet. */
  readonly finished: readonly number[];
  /** Write without a response that may still be applied. */
  readonly pending: Write | null;
}

interface ResultListingState {
  readonly row: JobRow;
  readonly a: HostState;
  readonly b: HostState;
  /** Whether a result was listed after the end of the job was acknowledged. */
  readonly listedAfterEnd: boolean;
}

type ResultListingEvent =
  | { readonly type: 'finish'; readonly host: HostName; readonly item: number }
  | { readonly type: 'write'; readonly host: HostName; readonly response: 'lost' | 'late' }
  | { readonly type: 'apply' | 'hear' | 'takeOver'; readonly host: HostName }
  | { readonly type: 'end' };

/** Faults that can be injected to verify that the check detects them. */
export type ResultListingFault =
  'none' | 'no revision check' | 'keeps listed results' | 'ignores the end of the job';

const ITEMS = [0, 1] as const;

/** Revision from which there are no more takeovers, so that the model stays small. */
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
  holder === name && (!ended || fault === 'ignores the end of the job');

/** Returns the state of a host after it received a state of the row. */
const applyRow = (host: HostState, row: JobRow, fault: ResultListingFault): HostState => {
  if (row.revision <= host.known.revision) return host;
  const finished =
    fault === 'keeps listed results'
      ? host.finished
      : host.finished.filter((item) => !row.listed.includes(item));
  return { ...host, known: row, finished };
};

/** Applies a write if the row has the required revision. */
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
    const isUnfinished = !host.known.listed.includes(item) && !host.finished.includes(item);
    if (!isUnfinished || !holdsJob(name, host.known, fault)) return state;
    return setHost(state, name, { ...host, finished: [...host.finished, item].sort() });
  },
  write(state, { host: name, response }, fault) {
    const host = state[name];
    const { known, finished, pending } = host;
    if (finished.length === 0 || pending || !holdsJob(name, known, fault)) return state;
    const write: Write = { condition: known.revision, listed: finished };
    if (response === 'late') return setHost(state, name, { ...host, pending: write });
    // Without a response the host retries the write until the row shows its outcome.
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
 * Creates the model.
 *
 * @param fault - fault to inject
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
        { type: 'write', host: name, response: 'lost' },
        { type: 'hear', host: name },
        { type: 'takeOver', host: name },
      ]),
      // Only one host has late writes, to keep the model small. A write with a response equals a lost
      // response followed by `hear`.
      { type: 'write', host: 'a', response: 'late' },
      { type: 'apply', host: 'a' },
      { type: 'end' },
    ],
    transition: (state, event) => applyTransition(transitions, state, event, fault),
    findViolation({ row: { listed }, listedAfterEnd }) {
      if (new Set(listed).size < listed.length) return 'an item has two results';
      if (listedAfterEnd) return 'a result was listed after the end of the job';
      return undefined;
    },
  };
};
