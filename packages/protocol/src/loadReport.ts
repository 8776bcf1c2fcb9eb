/** Load reports that serving hosts exchange over UDP. */
import { pack, unpack } from 'msgpackr';
import {
  isNonNegativeNumber,
  isNonNegativeInteger,
  isBoolean,
  arrayOf,
  countUpTo,
  isString,
  tupleOf,
  type GuardedType,
} from './typeGuards.js';

/** Maximum number of requests of one host on one target, a multiple of any target's slots. */
const MAX_REQUESTS_PER_TARGET = 100_000;

const isRequestCount = countUpTo(MAX_REQUESTS_PER_TARGET);

/** Maximum time for which the requests of one host hold slots of one target. Unit: ms. */
const MAX_WORK_LEFT_MS = 1_000_000_000;

/**
 * Running requests of one host on one target: id of the target, online requests, batch items, and the time for which the
 * online requests are expected to hold slots from now on, in ms (0 if the host doesn't estimate it).
 */
const targetLoad = tupleOf(isString, isRequestCount, isRequestCount, countUpTo(MAX_WORK_LEFT_MS));

/** Rate usage of one account on one host: name of the account, and requests since the start of the process. */
const rateUsage = tupleOf(isString, isNonNegativeInteger);

/**
 * Crash of a target that a host has observed: number of the observation, id of the target, service, time since the
 * crash in ms, and the content keys of each request that failed with it.
 */
const targetCrash = tupleOf(
  isNonNegativeInteger,
  isString,
  isString,
  isNonNegativeNumber,
  arrayOf(arrayOf(isString)),
);

/** Content that was served after requests with it had failed: its key, and the time since then. Unit: ms. */
const servedContent = tupleOf(isString, isNonNegativeNumber);

/** Requests that a host has served since the start of its process: name of the service, and number of requests. */
const servedCount = tupleOf(isString, isNonNegativeInteger);

/** A stream that its caller may take up again: its key, and the version of the targets that began it. */
const streamVersion = tupleOf(isString, isString);

/** A draining target: its id, and the start time of its incarnation. Unit: ms since 1970. */
const drainingTarget = tupleOf(isString, isNonNegativeInteger);

/**
 * Schema of an encoded report. Every report contains the complete state, so reports may be lost. It is encoded as a
 * list without field names, because traffic between failure domains is charged by volume. The fields are in the order
 * of {@link LoadReport}.
 */
const wireReport = tupleOf(
  isString,
  isNonNegativeNumber,
  isNonNegativeInteger,
  isNonNegativeNumber,
  isNonNegativeNumber,
  isNonNegativeNumber,
  arrayOf(targetLoad),
  arrayOf(rateUsage),
  arrayOf(isString),
  isNonNegativeInteger,
  arrayOf(drainingTarget),
  isBoolean,
  arrayOf(targetCrash),
  arrayOf(servedContent),
  arrayOf(servedCount),
  arrayOf(streamVersion),
);

/** Schema of a datagram: reports of one or more hosts. */
const wireReports = arrayOf(wireReport);

/** State of one host, as reported to other hosts. */
export interface LoadReport {
  /** Name of the host that the report describes. */
  readonly host: string;
  /** Identifies the process; differs after each restart of the host. */
  readonly incarnation: number;
  /** Number of the report within the incarnation; reports that arrive out of order are dropped. */
  readonly sequence: number;
  /** Age of the report when it was sent; 0 unless another host forwards it. Unit: ms. */
  readonly ageMs: number;
  /** Time since the start of the process. Used to order incarnations, because wall clocks may be set back. Unit: ms. */
  readonly upMs: number;
  /** Time since the host's last contact with the store. Unit: ms. */
  readonly storeAgeMs: number;
  readonly loads: readonly GuardedType<typeof targetLoad>[];
  readonly rates: readonly GuardedType<typeof rateUsage>[];
  /** Ids of targets that do not respond to the host. */
  readonly silent: readonly string[];
  /** Number of batch items of the host that wait for a slot. */
  readonly waitingItems: number;
  readonly leaving: readonly GuardedType<typeof drainingTarget>[];
  /** Whether the host is stopping: it still responds to its callers, but takes no more jobs. */
  readonly isStopping: boolean;
  /** Recent crashes of targets, as far as other hosts may not know of them. */
  readonly crashes: readonly GuardedType<typeof targetCrash>[];
  readonly servedContent: readonly GuardedType<typeof servedContent>[];
  /** Empty while no target has crashed. */
  readonly servedCounts: readonly GuardedType<typeof servedCount>[];
  readonly streams: readonly GuardedType<typeof streamVersion>[];
}

const toWire = (report: LoadReport) => [
  report.host,
  report.incarnation,
  report.sequence,
  report.ageMs,
  report.upMs,
  report.storeAgeMs,
  report.loads,
  report.rates,
  report.silent,
  report.waitingItems,
  report.leaving,
  report.isStopping,
  report.crashes,
  report.servedContent,
  report.servedCounts,
  report.streams,
];

const fromWire = ([
  host,
  incarnation,
  sequence,
  ageMs,
  upMs,
  storeAgeMs,
  loads,
  rates,
  silent,
  waitingItems,
  leaving,
  isStopping,
  crashes,
  servedContentKeys,
  servedCounts,
  streams,
]: GuardedType<typeof wireReport>): LoadReport => ({
  host,
  incarnation,
  sequence,
  ageMs,
  upMs,
  storeAgeMs,
  loads,
  rates,
  silent,
  waitingItems,
  leaving,
  isStopping,
  crashes,
  servedContent: servedContentKeys,
  servedCounts,
  streams,
});

/**
 * Encodes reports.
 *
 * @param reports - reports of one or more hosts
 * @returns datagram
 */
export const encodeLoadReports = (reports: readonly LoadReport[]): Buffer =>
  pack(reports.map(toWire));

/**
 * Decodes reports.
 *
 * @param datagram - untrusted datagram
 * @returns the reports, or undefined if the datagram is invalid
 */
export const decodeLoadReports = (datagram: Uint8Array): LoadReport[] | undefined => {
  let content: unknown;
  try {
    content = unpack(datagram);
  } catch {
    // Invalid MessagePack; the caller records the failure.
    return undefined;
  }
  return wireReports(content) ? content.map(fromWire) : undefined;
};
