/** What serving hosts tell each other by datagram: loads of targets, use of rates, silent targets. */
import { pack, unpack } from 'msgpackr';
import * as z from 'zod';

/** Running requests of one host on one target. */
const targetLoad = z.tuple([
  /** Identity of the target. */
  z.string(),
  /** Online requests. */
  z.int().nonnegative(),
  /** Batch items. */
  z.int().nonnegative(),
]);

/** Use of one account's rate through one host. */
const rateUse = z.tuple([
  /** Name of the account. */
  z.string(),
  /** Requests counted since the start of the process. */
  z.int().nonnegative(),
]);

/** Broken sends of one request through one host. */
const brokenSends = z.tuple([
  /** Fingerprint of the request. */
  z.string(),
  z.int().positive(),
]);

/**
 * Schema of a report. Every report carries the whole state, so that a lost one does no harm. It
 * travels as a list without field names, because bytes between failure domains are paid for.
 */
export const loadReport = z.tuple([
  /** Name of the sending host. */
  z.string(),
  /** Incarnation of its process: a number that no other process of the host has. */
  z.number(),
  /** Counts the reports of the incarnation, so that a crossed one is dropped. */
  z.int().nonnegative(),
  /** Time since the start of the process. Wall clocks may be stepped, so starts are told apart by age. Unit: ms. */
  z.number().nonnegative(),
  /** Age of the sender's contact with the store. Unit: ms. */
  z.number().nonnegative(),
  z.array(targetLoad),
  z.array(rateUse),
  /** Identities of targets that do not answer the sender. */
  z.array(z.string()),
  /** Batch items of the sender that wait for a slot. */
  z.int().nonnegative(),
  z.array(brokenSends),
]);

/** A report by its field names. */
export interface LoadReport {
  readonly host: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly upMs: number;
  readonly storeAgeMs: number;
  readonly loads: readonly z.infer<typeof targetLoad>[];
  readonly rates: readonly z.infer<typeof rateUse>[];
  readonly silent: readonly string[];
  readonly waitingItems: number;
  readonly breaks: readonly z.infer<typeof brokenSends>[];
}

/**
 * Encodes a report.
 *
 * @param report - the report
 * @returns content of a datagram
 */
export const encodeLoadReport = (report: LoadReport): Buffer =>
  pack([
    report.host,
    report.incarnation,
    report.sequence,
    report.upMs,
    report.storeAgeMs,
    report.loads,
    report.rates,
    report.silent,
    report.waitingItems,
    report.breaks,
  ]);

/**
 * Decodes a report.
 *
 * @param datagram - content of a datagram, from anywhere
 * @returns the report, or nothing when it is none
 */
export const decodeLoadReport = (datagram: Uint8Array): LoadReport | undefined => {
  let content: unknown;
  try {
    content = unpack(datagram);
  } catch {
    // Not one of ours; the caller counts it.
    return undefined;
  }
  const parsed = loadReport.safeParse(content);
  if (!parsed.success) return undefined;
  const [
    host,
    incarnation,
    sequence,
    upMs,
    storeAgeMs,
    loads,
    rates,
    silent,
    waitingItems,
    breaks,
  ] = parsed.data;
  return {
    host,
    incarnation,
    sequence,
    upMs,
    storeAgeMs,
    loads,
    rates,
    silent,
    waitingItems,
    breaks,
  };
};
