/**
 * Model of configuration versions: commits, distribution, a partitioned process, restarts and concurrent
 * operators (design 5.1).
 *
 * There are two operators and two processes, of which one may be cut off from the table. A proof of
 * freshness is valid for two ticks. Two ticks after a version was acknowledged, no process may serve an
 * older one.
 */
import type { Model } from './exploreModel.js';

/** Faults that can be injected to verify that the check detects them. */
export type VersionFault = 'adopts-lower' | 'serves-unproven' | 'commits-without-base';

interface Process {
  readonly version: number;
  /** Ticks for which the proof is valid; 0 without proof. */
  readonly proof: number;
}

interface PendingResponse {
  readonly version: number;
  /** Ticks for which the proof in the response is valid. */
  readonly proof: number;
}

interface VersionState {
  /** Version in the table. */
  readonly table: number;
  /** Number of edits that created each version; more than one is a violation. */
  readonly edits: readonly number[];
  /** Ticks since each version was acknowledged, capped at two. */
  readonly ages: readonly number[];
  readonly processes: readonly Process[];
  /** Response in transit from the first process to the second. */
  readonly response: PendingResponse | null;
  readonly isCutOff: boolean;
  /** Base version of each operator's edit; null until it is read. */
  readonly bases: readonly (number | null)[];
  /** Whether a process replaced its version by a lower one. */
  readonly hasRegressed: boolean;
}

type VersionEvent =
  | { readonly type: 'tick' | 'cut off' | 'join' | 'send' | 'receive' }
  | { readonly type: 'read' | 'restart'; readonly process: number }
  | { readonly type: 'read base' | 'commit'; readonly operator: number };

const PROOF_TICKS = 2;

/** Highest version: one edit after version 0 is enough to expose each fault. */
const MAX_VERSION = 1;

const initial: VersionState = {
  table: 0,
  edits: [1, 0],
  ages: [2, 0],
  processes: [
    { version: 0, proof: 0 },
    { version: 0, proof: 0 },
  ],
  response: null,
  isCutOff: false,
  bases: [null, null],
  hasRegressed: false,
};

const replaceAt = <Item>(items: readonly Item[], index: number, item: Item): Item[] =>
  items.map((current, position) => (position === index ? item : current));

const decrement = (ticks: number): number => Math.max(0, ticks - 1);

const tick = (state: VersionState): VersionState => ({
  ...state,
  ages: state.ages.map((ticks, version) =>
    version <= state.table ? Math.min(PROOF_TICKS, ticks + 1) : 0,
  ),
  processes: state.processes.map(({ version, proof }) => ({ version, proof: decrement(proof) })),
  response: state.response && { ...state.response, proof: decrement(state.response.proof) },
});

/** Applies a version with its proof, from the table or a response. */
const applyVersion = (
  state: VersionState,
  index: number,
  received: PendingResponse,
  fault: VersionFault | undefined,
): VersionState => {
  const held = state.processes[index];
  if (!held) return state;
  const isLower = received.version < held.version;
  if (isLower && fault !== 'adopts-lower') return state;
  const process = { version: received.version, proof: Math.max(held.proof, received.proof) };
  const processes = replaceAt(state.processes, index, process);
  return { ...state, processes, hasRegressed: state.hasRegressed || isLower };
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
  const next = { ...state, bases: replaceAt(state.bases, operator, null) };
  const version = base + 1;
  const isBase = fault === 'commits-without-base' || base === state.table;
  if (!isBase || version > MAX_VERSION) return next;
  const edits = replaceAt(state.edits, version, (state.edits[version] ?? 0) + 1);
  return { ...next, edits, table: Math.max(state.table, version) };
};

/**
 * Creates the model.
 *
 * @param fault - fault to inject
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
      // The second process is cut off from the table, not from the first process.
      send: () => ({ ...state, response: state.processes[0] ?? null }),
      receive: () =>
        state.response
          ? applyVersion({ ...state, response: null }, 1, state.response, fault)
          : state,
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
  findViolation({ table, edits, ages, processes, hasRegressed }) {
    if (hasRegressed) return 'a process returned to a lower version';
    if (edits.some((count) => count > 1)) return 'two edits made the same version';
    const due = ages.filter((ticks, version) => version <= table && ticks === PROOF_TICKS).length;
    const isServing = ({ proof }: Process): boolean => fault === 'serves-unproven' || proof > 0;
    const isOutdated = processes.some((held) => isServing(held) && held.version < due - 1);
    return isOutdated ? 'an outdated version is served' : undefined;
  },
});
