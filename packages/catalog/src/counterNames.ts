/** Catalogue of counters and timings. `docs/counters.md` is generated from it. */

/** Counter of the catalogue: what it counts and its tags. */
export interface Counter {
  readonly description: string;
  readonly tags: readonly string[];
}

const defineCounters = <Name extends string>(
  counters: Record<Name, Counter>,
): Readonly<Record<Name, Counter>> => counters;

export const counters = defineCounters({
  'requests.accepted': { description: 'Requests passed to a target', tags: ['route'] },
  'requests.completed': { description: 'Requests with a complete response', tags: ['route'] },
  'requests.refused': { description: 'Refused requests by result code', tags: ['code'] },
  'requests.retried': { description: 'Retries by reason', tags: ['reason'] },
  'queue.left': {
    description: 'Requests that left the queue of the host, by outcome',
    tags: ['outcome'],
  },
  'requests.replayed': { description: 'Responses replayed from a claim', tags: ['route'] },
  'connections.replaced': {
    description: 'Connections of callers that were closed to make room for new ones',
    tags: [],
  },
  'streams.cut': { description: 'Streams ended early by reason', tags: ['reason'] },
  'placement.choices': {
    description: 'Choices of a target by predicted times, by outcome',
    tags: ['outcome'],
  },
  'batch.items': { description: 'Batch items by outcome', tags: ['outcome'] },
  'batch.preempted': { description: 'Batch streams cancelled for online requests', tags: [] },
  'batch.blocked': {
    description: 'Batch items that wait as targets crash on their content',
    tags: [],
  },
  'batch.deferred': {
    description:
      'Batch items that wait as free slots are left to the next pulse of online requests',
    tags: [],
  },
  'batch.claims': { description: 'Chunk claims by outcome', tags: ['outcome'] },
  'batch.commits': { description: 'Chunk commits by outcome', tags: ['outcome'] },
  'platform.calls': {
    description: 'Calls to the platform by operation and outcome',
    tags: ['operation', 'outcome'],
  },
  'configuration.polls': { description: 'Configuration polls by source', tags: ['source'] },
  'shares.requests': { description: 'Share requests by outcome', tags: ['outcome'] },
  'cold.sent': { description: 'Requests and items sent to cold targets', tags: [] },
  'cold.deferred': {
    description:
      'Requests not sent, as only cold targets have room and this host has no share left',
    tags: [],
  },
  'orders.sent': { description: 'Orders sent to targets by outcome', tags: ['outcome'] },
});

/** Timing of the catalogue. */
export interface Timing {
  readonly description: string;
}

/** Timings, recorded as histograms. Unit: ms. */
export const timings = {
  'requests.first': {
    description: 'Time from the arrival of a request to the first part of its response',
  },
  'requests.total': {
    description: 'Time from the arrival of a request to the end of its response',
  },
  'queue.wait': { description: 'Time of a request in the queue of the host' },
  'placement.wait': { description: 'Predicted wait for a slot of the chosen target' },
  'items.deferred': {
    description:
      'Time for which a batch item waited as free slots were left to the next pulse of online requests',
  },
  'items.run': { description: 'Duration of a run of a batch item on a target' },
} as const satisfies Readonly<Record<string, Timing>>;

/** Name of a timing. */
export type TimingName = keyof typeof timings;

/** Name of a counter. */
export type CounterName = keyof typeof counters;
