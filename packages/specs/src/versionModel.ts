/**
 * Versions of the configuration: commit, spread, cut-off process, restart and racing operators
 * (design 5.1).
 *
 * Two processes, of which one may be cut off from the table, and two operators. A proof counts for two
 * ticks; a version is due two ticks after it was acknowledged.
 */
import type { Model } from './exploreModel.js';

/** A fault that the check must find. */
export type VersionFault = 'adopts-lower' | 'serves-unproven' | 'commits-without-base';

interface Process {
  readonly version: number;
  /** Ticks for which the proof counts; 0 without proof. */
  readonly proof: number;
}

interface PendingResponse {
  readonly version: number;
  /** Ticks for which the proof in it counts. */
  readonly proof: number;
}

/** State of the model. */
interface VersionState {
  readonly table: number;
  /** Edits that made each version; a version has one. */
  readonly edits: readonly number[];
  /** Ticks since each version was acknowledged, at most two. */
  readonly ages: readonly number[];
  readonly processes: readonly Process[];
  /** An answer of the first process to the second that is under way. */
  readonly answer: PendingResponse | null;
  readonly isCutOff: boolean;
  /** Base version of each operator's edit; nothing before it was read. */
  readonly bases: readonly (number | null)[];
  readonly wentBack: boolean;
}

type VersionEvent =
  | { readonly type: 'tick' | 'cut off' | 'join' | 'send' | 'receive' }
  | { readonly type: 'read' | 'restart'; readonly process: number }
  | { readonly type: 'read base' | 'commit'; readonly operator: number };

const PROOF_TICKS = 2;

/** One edit after the first version shows each fault. */
const MAX_VERSION = 1;

const initial: VersionState = {
  table: 0,
  edits: [1, 0],
  ages: [2, 0],
  processes: [
    { version: 0, proof: 0 },
    { version: 0, proof: 0 },
  ],
  answer: null,
  isCutOff: false,
  bases: [null, null],
  wentBack: false,
};

const replaceAt = <Item>(items: readonly Item[], index: number, item: Item): Item[] =>
  items.map((other, at) => (at === index ? item : other));

const decrement = (ticks: number): number => Math.max(0, ticks - 1);

const tick = (state: VersionState): VersionState => ({
  ...state,
  ages: state.ages.map((ticks, version) =>
    version <= state.table ? Math.min(PROOF_TICKS, ticks + 1) : 0,
  ),
  processes: state.processes.map(({ version, proof }) => ({ version, proof: decrement(proof) })),
  answer: state.answer && { ...state.answer, proof: decrement(state.answer.proof) },
});

/** Takes in a version with its proof, from the table or an answer. */
const applyVersion = (
  state: VersionState,
  index: number,
  offered: PendingResponse,
  fault: VersionFault | undefined,
): VersionState => {
  const held = state.processes[index];
  if (!held) return state;
  const isLower = offered.version < held.version;
  if (isLower && fault !== 'adopts-lower') return state;
  const process = { version: offered.version, proof: Math.max(held.proof, offered.proof) };
  const processes = replaceAt(state.processes, index, process);
  return { ...state, processes, wentBack: state.wentBack || isLower };
};

const reachesTable = ({ isCutOff }: VersionState, process: number): boolean =>
  !(isCutOff && process === 1);

const commit = (
  state: VersionState,
  operator: number,
  fault: VersionFault | undefined,
): VersionState => {
  const base = state.bases[operator] ?? null;
  if (base === null) return state;
  const asked = { ...state, bases: replaceAt(state.bases, operator, null) };
  const version = base + 1;
  const isBase = fault === 'commits-without-base' || base === state.table;
  if (!isBase || version > MAX_VERSION) return asked;
  const edits = replaceAt(state.edits, version, (state.edits[version] ?? 0) + 1);
  return { ...asked, edits, table: Math.max(state.table, version) };
};

/**
 * Builds the model.
 *
 * @param fault - fault to plant
 * @returns the model
 */
export const createVersionModel = (fault?: VersionFault): Model<VersionState, VersionEvent> => ({
  initial,
  events: [
    { type: 'tick' },
    { type: 'cut off' },
    { type: 'join' },
    { type: 'send' },
    { type: 'receive' },
    ...[0, 1].flatMap((index): VersionEvent[] => [
      { type: 'read', process: index },
      { type: 'restart', process: index },
      { type: 'read base', operator: index },
      { type: 'commit', operator: index },
    ]),
  ],
  transition(state, event) {
    const process = 'process' in event ? event.process : 0;
    const operator = 'operator' in event ? event.operator : 0;
    const handlers: Record<VersionEvent['type'], () => VersionState> = {
      tick: () => tick(state),
      'cut off': () => ({ ...state, isCutOff: true }),
      join: () => ({ ...state, isCutOff: false }),
      // The second process is cut off from the table, not from the first one.
      send: () => ({ ...state, answer: state.processes[0] ?? null }),
      receive: () =>
        state.answer ? applyVersion({ ...state, answer: null }, 1, state.answer, fault) : state,
      read: () =>
        reachesTable(state, process)
          ? applyVersion(state, process, { version: state.table, proof: PROOF_TICKS }, fault)
          : state,
      restart: () => ({
        ...state,
        processes: replaceAt(state.processes, process, { version: 0, proof: 0 }),
      }),
      'read base': () => ({ ...state, bases: replaceAt(state.bases, operator, state.table) }),
      commit: () => commit(state, operator, fault),
    };
    return handlers[event.type]();
  },
  findViolation({ table, edits, ages, processes, wentBack }) {
    if (wentBack) return 'a version went back';
    if (edits.some((count) => count > 1)) return 'two edits made the same version';
    const due = ages.filter((ticks, version) => version <= table && ticks === PROOF_TICKS).length;
    const isServing = ({ proof }: Process): boolean => fault === 'serves-unproven' || proof > 0;
    const isOld = processes.some((held) => isServing(held) && held.version < due - 1);
    return isOld ? 'a replaced version is served' : undefined;
  },
});
