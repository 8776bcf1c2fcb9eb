/**
 * When hosts report to each other, and to whom. A host reports its own state to the hosts of its failure domain.
 * To each host of the other domains only one host of the domain at a time reports, and passes on what all of the
 * domain said. What a host sends and hears then depends on the size of its domain and on the number of domains, not
 * on the size of the fleet, and no host has a part that others must take over when it is lost.
 */

/** Least time between two reports to the own failure domain. Unit: ms. */
const MIN_LOCAL_INTERVAL_MS = 30;

/** What the least time grows by for each host of the own domain, which bounds the datagrams a second. Unit: ms. */
const LOCAL_INTERVAL_PER_HOST_MS = 10;

/** Part of the interval after which a report goes out when an account is close to its rate. */
const URGENT_INTERVAL_FACTOR = 0.5;

/**
 * Time between two passes over the hosts of other domains, for each host beyond the first that one host reaches in a
 * pass. There are as many of them as there are other domains of the same size. Unit: ms.
 */
const REMOTE_INTERVAL_PER_RECEIVER_MS = 100;

/** Least and longest time between two passes; after several of the longest ones a host would count as silent. Unit: ms. */
const REMOTE_INTERVAL_MS = { min: 100, max: 500 } as const;

/** Time of a report on its way and in the queues of both hosts. Unit: ms. */
const TRANSIT_TIME_MS = 15;

/** Sizes that the intervals depend on. */
export interface FleetSize {
  /** Other hosts of the own failure domain. */
  readonly local: number;
  /** Hosts of all other failure domains. */
  readonly remote: number;
}

const countReceivers = ({ local: near, remote: far }: FleetSize): number =>
  Math.ceil(far / (near + 1));

/**
 * Gives the least time between two reports to the own failure domain.
 *
 * @param size - size of the fleet
 * @param urgent - whether an account is close to its rate
 * @returns the interval. Unit: ms
 */
export const getLocalIntervalMs = ({ local: near }: FleetSize, urgent: boolean): number =>
  Math.max(MIN_LOCAL_INTERVAL_MS, near * LOCAL_INTERVAL_PER_HOST_MS) *
  (urgent ? URGENT_INTERVAL_FACTOR : 1);

/**
 * Gives the time between two passes over the hosts of other failure domains.
 *
 * @param size - size of the fleet
 * @param urgent - whether an account is close to its rate
 * @returns the interval. Unit: ms
 */
export const getRemoteIntervalMs = (size: FleetSize, urgent: boolean): number =>
  Math.min(
    REMOTE_INTERVAL_MS.max,
    Math.max(REMOTE_INTERVAL_MS.min, (countReceivers(size) - 1) * REMOTE_INTERVAL_PER_RECEIVER_MS),
  ) * (urgent ? URGENT_INTERVAL_FACTOR : 1);

/** Who takes part in a pass. */
export interface Round<Peer> {
  /** Hosts of other failure domains, in an order that is the same on every host. */
  readonly remote: readonly Peer[];
  /** Hosts of the own failure domain that send, this one included. */
  readonly senders: number;
  /** Position of this host among them. */
  readonly rank: number;
  /** Number of the pass, nearly the same on all senders. */
  readonly round: number;
}

/**
 * Lists the hosts that a host reports to in one pass. All senders together reach each far host once in a pass,
 * and another sender reaches it in the next one, so that a lost sender is missed for one pass only.
 *
 * @param pass - senders and receivers
 * @returns the receivers of this host
 */
export const selectRemoteReceivers = <Peer>({
  remote: far,
  senders,
  rank,
  round: pass,
}: Round<Peer>): Peer[] => {
  if (far.length === 0) return [];
  const size = Math.ceil(far.length / senders);
  const first = ((pass + rank) * size) % far.length;
  return Array.from({ length: size }, (_, offset) => far[(first + offset) % far.length]!);
};

/**
 * Gives the time after which the other hosts that use a target know of a change there, if no report is lost.
 *
 * @param size - size of the fleet
 * @param isNear - whether the target stands in the own failure domain, whose hosts use it first
 * @returns time from the change. Unit: ms
 */
export const getPropagationTimeMs = (size: FleetSize, isNear: boolean): number =>
  getLocalIntervalMs(size, false) +
  TRANSIT_TIME_MS +
  (isNear ? 0 : getRemoteIntervalMs(size, false));
