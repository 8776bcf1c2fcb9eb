/**
 * Intervals and receivers of load reports. A host reports its own state to all hosts of its failure domain. Each host
 * of another failure domain gets the reports of all hosts of this domain from one of them, a different one each round.
 * The traffic of a host therefore depends on the size of its failure domain and on the number of domains, but not on
 * the size of the fleet, and no host has a special role that would need failover.
 */

/** Minimum interval of reports within a small failure domain. Unit: ms. */
const MIN_LOCAL_INTERVAL_MS = 30;

/** Minimum interval per other host of the failure domain; limits the datagrams per second. Unit: ms. */
const LOCAL_INTERVAL_PER_HOST_MS = 10;

/** Factor of all intervals while an account is close to its rate limit. */
const URGENT_INTERVAL_FACTOR = 0.5;

/**
 * Time between two rounds of reports to other failure domains, for each receiver of a host after the first. With
 * domains of equal size a host has one receiver for each other domain. Unit: ms.
 */
const REMOTE_INTERVAL_PER_RECEIVER_MS = 100;

/**
 * Limits of the time between two rounds. A host whose reports are missing for several rounds of maximum length counts
 * as unresponsive. Unit: ms.
 */
const REMOTE_INTERVAL_MS = { min: 100, max: 500 } as const;

/** Network latency of a report and its time in the queues of both hosts. Unit: ms. */
const TRANSIT_TIME_MS = 15;

/** Number of other hosts. */
export interface FleetSize {
  /** Other hosts of the same failure domain. */
  readonly local: number;
  /** Hosts of all other failure domains. */
  readonly remote: number;
}

const countReceivers = ({ local, remote }: FleetSize): number => Math.ceil(remote / (local + 1));

/**
 * Returns the minimum interval of reports within the failure domain.
 *
 * @param size - size of the fleet
 * @param isUrgent - whether an account is close to its rate limit
 * @returns the interval. Unit: ms
 */
export const getLocalIntervalMs = ({ local }: FleetSize, isUrgent: boolean): number =>
  Math.max(MIN_LOCAL_INTERVAL_MS, local * LOCAL_INTERVAL_PER_HOST_MS) *
  (isUrgent ? URGENT_INTERVAL_FACTOR : 1);

/**
 * Returns the time between two rounds of reports to other failure domains.
 *
 * @param size - size of the fleet
 * @param isUrgent - whether an account is close to its rate limit
 * @returns the interval. Unit: ms
 */
export const getRemoteIntervalMs = (size: FleetSize, isUrgent: boolean): number =>
  Math.min(
    REMOTE_INTERVAL_MS.max,
    Math.max(REMOTE_INTERVAL_MS.min, (countReceivers(size) - 1) * REMOTE_INTERVAL_PER_RECEIVER_MS),
  ) * (isUrgent ? URGENT_INTERVAL_FACTOR : 1);

/** Senders and receivers of one round of reports to other failure domains. */
export interface Round<Peer> {
  /** Hosts of other failure domains, in an order that is the same on every host. */
  readonly remote: readonly Peer[];
  /** Number of sending hosts of this failure domain, including this host. */
  readonly senders: number;
  /** Position of this host among the senders. */
  readonly rank: number;
  /** Number of the round; approximately the same on all senders. */
  readonly round: number;
}

/**
 * Selects the receivers of a host in one round. In each round every remote host is a receiver of one sender, and in
 * the next round of a different sender, so the failure of a sender costs a receiver only one round.
 *
 * @param round - senders and receivers
 * @returns receivers of this host
 */
export const selectRemoteReceivers = <Peer>({
  remote,
  senders,
  rank,
  round,
}: Round<Peer>): Peer[] => {
  if (remote.length === 0) return [];
  const size = Math.ceil(remote.length / senders);
  const first = ((round + rank) * size) % remote.length;
  return Array.from({ length: size }, (_, offset) => remote[(first + offset) % remote.length]!);
};

/**
 * Returns the time until the other hosts that use a target know of a load change there, if no report is lost.
 *
 * @param size - size of the fleet
 * @param isLocal - whether the target is in the same failure domain, whose hosts prefer it
 * @returns time from the change. Unit: ms
 */
export const getPropagationTimeMs = (size: FleetSize, isLocal: boolean): number =>
  getLocalIntervalMs(size, false) +
  TRANSIT_TIME_MS +
  (isLocal ? 0 : getRemoteIntervalMs(size, false));
