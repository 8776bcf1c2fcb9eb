/** What serving hosts tell each other by datagram: loads of targets, use of rates, silent targets. */
import { pack, unpack } from 'msgpackr';
import { amount, count, flag, listOf, text, tuple, type ContentOf } from './shapes.js';

/** Running requests of one host on one target: identity of the target, online requests, batch items. */
const targetLoad = tuple(text, count, count);

/** Use of one account's rate through one host: name, and requests since the start of the process. */
const rateUsage = tuple(text, count);

/** Broken sends of one request through one host: fingerprint of the request, and their number. */
const connectionFailures = tuple(text, count);

/** A target that has said to the host that it leaves: identity, and birth of the incarnation. */
const drainingTarget = tuple(text, count);

/**
 * Shape of a report. Every report carries the whole state, so that a lost one does no harm. It
 * travels as a list without field names, because bytes between failure domains are paid for. Fields in
 * order as in {@link LoadReport}.
 */
const wireReport = tuple(
  text,
  amount,
  count,
  amount,
  amount,
  amount,
  listOf(targetLoad),
  listOf(rateUsage),
  listOf(text),
  count,
  listOf(connectionFailures),
  listOf(drainingTarget),
  flag,
);

/** Content of a datagram: reports of one or more hosts. */
const wireReports = listOf(wireReport);

/** A report by its field names. */
export interface LoadReport {
  /** Name of the host that it is about. */
  readonly host: string;
  /** Incarnation of its process: a number that no other process of the host has. */
  readonly incarnation: number;
  /** Counts the reports of the incarnation, so that a crossed one is dropped. */
  readonly sequence: number;
  /** How long ago the host wrote it, when another host passes it on. Unit: ms. */
  readonly ageMs: number;
  /** Time since the start of the process. Wall clocks may be stepped, so starts are told apart by age. Unit: ms. */
  readonly upMs: number;
  /** Age of the host's contact with the store. Unit: ms. */
  readonly storeAgeMs: number;
  readonly loads: readonly ContentOf<typeof targetLoad>[];
  readonly rates: readonly ContentOf<typeof rateUsage>[];
  /** Identities of targets that do not answer the host. */
  readonly silent: readonly string[];
  /** Batch items of the host that wait for a slot. */
  readonly waitingItems: number;
  readonly connectionFailures: readonly ContentOf<typeof connectionFailures>[];
  readonly leaving: readonly ContentOf<typeof drainingTarget>[];
  /** Whether the host stops: it still answers its callers, and takes no more jobs. */
  readonly isStopping: boolean;
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
  report.connectionFailures,
  report.leaving,
  report.isStopping,
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
  breaks,
  leaving,
  isStopping,
]: ContentOf<typeof wireReport>): LoadReport => ({
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
  connectionFailures: breaks,
  leaving,
  isStopping,
});

/**
 * Encodes reports.
 *
 * @param reports - reports of one or more hosts
 * @returns content of a datagram
 */
export const encodeLoadReports = (reports: readonly LoadReport[]): Buffer =>
  pack(reports.map(toWire));

/**
 * Decodes reports.
 *
 * @param datagram - content of a datagram, from anywhere
 * @returns the reports, or nothing when it holds anything else
 */
export const decodeLoadReports = (datagram: Uint8Array): LoadReport[] | undefined => {
  let content: unknown;
  try {
    content = unpack(datagram);
  } catch {
    // Not one of ours; the caller counts it.
    return undefined;
  }
  return wireReports(content) ? content.map(fromWire) : undefined;
};
