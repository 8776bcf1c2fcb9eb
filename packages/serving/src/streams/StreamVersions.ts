/** The version of the targets that began each stream, which only targets of that version can continue. */
import { createHash } from 'node:crypto';
import type { LoadReport } from '@jacinthlug/protocol/loadReport';
import type { StreamRetention } from './StreamRetention.js';

/** Maximum number of streams in a report. Keeps datagrams small when many responses break off. */
const MAX_PER_REPORT = 12;

/** Maximum number of streams that are remembered for other hosts: some seconds of a large fleet's streams. */
const MAX_LEARNED = 50_000;

/** Length of a key in base64 characters. */
const KEY_LENGTH = 11;

/** How this host came to know the version of a stream. */
export interface StreamSource {
  /** Began on this host, saved by an earlier process of it, reported by another host, or in the row of another host. */
  readonly kind: 'own' | 'own-row' | 'report' | 'row';
  /** Name of the other host. */
  readonly host?: string;
}

/** A stream that began on this host. */
interface OwnStream {
  readonly version: string;
  /** Monotonic time until which it is remembered; infinite while its response is in progress. Unit: ms. */
  until: number;
  /** Whether callers may take it up again, as its response is in progress or has broken off. */
  isOpen: boolean;
  reportCount: number;
  readonly source: StreamSource;
  /** Monotonic time at which it began, or was read. Unit: ms. */
  readonly knownSince: number;
}

/** A stream that began on another host. */
interface LearnedStream {
  readonly version: string;
  /** Monotonic time until which it is remembered. Unit: ms. */
  readonly until: number;
  readonly source: StreamSource;
  /** Monotonic time at which this host first learned this version of it. Unit: ms. */
  readonly knownSince: number;
}

/** A stream and the version that began it, as exchanged between hosts. */
export type StreamVersion = readonly [key: string, version: string];

/**
 * Computes the key of a stream.
 *
 * @param account - name of the client account; undefined on open routes
 * @param request - id of the request that brought the first event
 * @returns the key, which differs between accounts, as callers choose the ids of their requests
 */
export const computeStreamKey = (account: string | undefined, request: string): string =>
  createHash('sha256')
    .update(`${account ?? ''}\0${request}`)
    .digest('base64url')
    .slice(0, KEY_LENGTH);

/** Remembers versions of streams that began on this host or on others. */
export class StreamVersions {
  private readonly ownStreams = new Map<string, OwnStream>();

  /** In the order in which they were last reported. */
  private readonly learnedStreams = new Map<string, LearnedStream>();

  private readonly listeners: (() => void)[] = [];

  /** Requests that look for the version of a stream, by key. */
  private readonly versionListeners = new Map<string, Set<(version: string) => void>>();

  constructor(private readonly retention: Pick<StreamRetention, 'ms'>) {}

  /**
   * Registers a listener for streams that begin or break off here.
   *
   * @param listener - called without arguments
   */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Records the version of a stream in progress. Other hosts rely on it from now on, so that it must be that of the events
   * which the caller gets.
   *
   * @param key - key of the stream
   * @param version - version of the targets that began it
   */
  begin(key: string, version: string): void {
    const until = Number.POSITIVE_INFINITY;
    const known = this.ownStreams.get(key);
    if (known?.isOpen && known.version === version) {
      known.until = until;
      return;
    }
    this.ownStreams.set(key, {
      version,
      until,
      isOpen: true,
      reportCount: 0,
      source: { kind: 'own' },
      knownSince: performance.now(),
    });
    this.notifyListeners();
  }

  /**
   * Records that the response of a stream has ended. A complete stream is remembered too, as its last part may not reach
   * the caller, but only by this host.
   *
   * @param key - key of the stream
   * @param isComplete - whether it was passed on completely
   * @param now - monotonic time. Unit: ms
   */
  end(key: string, isComplete: boolean, now = performance.now()): void {
    const stream = this.ownStreams.get(key);
    if (!stream) return;
    stream.until = now + this.retention.ms;
    stream.isOpen = !isComplete;
    if (stream.isOpen) this.notifyListeners();
  }

  /**
   * Takes over streams that an earlier process of this host began.
   *
   * @param streams - open streams
   * @param now - monotonic time. Unit: ms
   */
  adopt(streams: readonly StreamVersion[], now = performance.now()): void {
    streams
      .filter(([key]) => !this.ownStreams.has(key))
      .forEach(([key, version]) => {
        const until = now + this.retention.ms;
        this.ownStreams.set(key, {
          version,
          until,
          isOpen: true,
          reportCount: 0,
          source: { kind: 'own-row' },
          knownSince: now,
        });
      });
  }

  /**
   * Records streams of other hosts.
   *
   * @param streams - open streams
   * @param source - who told of them
   * @param now - monotonic time. Unit: ms
   */
  learn(streams: readonly StreamVersion[], source: StreamSource, now = performance.now()): void {
    streams.forEach(([key, version]) => {
      const known = this.learnedStreams.get(key);
      const first = known?.version === version ? known : { source, knownSince: now };
      this.learnedStreams.delete(key);
      this.learnedStreams.set(key, { ...first, version, until: now + this.retention.ms });
      this.versionListeners.get(key)?.forEach((listener) => listener(version));
    });
    for (const [key, { until }] of this.learnedStreams) {
      if (until > now && this.learnedStreams.size <= MAX_LEARNED) break;
      this.learnedStreams.delete(key);
    }
  }

  /**
   * Applies the streams of another host's report.
   *
   * @param report - its latest report
   */
  applyReport({ host, streams }: Pick<LoadReport, 'host' | 'streams'>): void {
    if (streams.length > 0) this.learn(streams, { kind: 'report', host });
  }

  /**
   * Finds the version that began a stream.
   *
   * @param key - key of the stream
   * @param now - monotonic time. Unit: ms
   * @returns the version; undefined if this host doesn't know it
   */
  find(key: string, now = performance.now()): string | undefined {
    const stream = this.ownStreams.get(key) ?? this.learnedStreams.get(key);
    return stream && stream.until > now ? stream.version : undefined;
  }

  /**
   * Registers a listener for the version of a stream that this host doesn't know yet.
   *
   * @param key - key of the stream
   * @param listener - called with the version when another host tells it
   * @returns removes the listener
   */
  onLearned(key: string, listener: (version: string) => void): () => void {
    const listeners = this.versionListeners.get(key) ?? new Set();
    this.versionListeners.set(key, listeners.add(listener));
    return () => {
      listeners.delete(listener);
      if (listeners.size === 0) this.versionListeners.delete(key);
    };
  }

  /**
   * Tells how this host came to know the version of a stream.
   *
   * @param key - key of the stream
   * @param now - monotonic time. Unit: ms
   * @returns who told it first, and how long ago; undefined if this host doesn't know the version. Unit: ms
   */
  describeSource(
    key: string,
    now = performance.now(),
  ): { readonly source: StreamSource; readonly knownMs: number } | undefined {
    const stream = this.ownStreams.get(key) ?? this.learnedStreams.get(key);
    if (!stream || stream.until <= now) return undefined;
    return { source: stream.source, knownMs: Math.round(now - stream.knownSince) };
  }

  /**
   * Lists the streams of this host that callers may take up again.
   *
   * @param now - monotonic time. Unit: ms
   * @returns open streams
   */
  listOpen(now = performance.now()): StreamVersion[] {
    this.removeExpired(now);
    return [...this.ownStreams.entries()]
      .filter(([, { isOpen }]) => isOpen)
      .map(([key, { version }]) => [key, version]);
  }

  /**
   * Selects the streams for the next report; those in the fewest reports come first.
   *
   * @param now - monotonic time. Unit: ms
   * @returns open streams
   */
  selectForReport(now = performance.now()): [string, string][] {
    if (this.ownStreams.size === 0) return [];
    this.removeExpired(now);
    return [...this.ownStreams.entries()]
      .filter(([, { isOpen }]) => isOpen)
      .sort(([, a], [, b]) => a.reportCount - b.reportCount)
      .slice(0, MAX_PER_REPORT)
      .map(([key, stream]) => {
        Object.assign(stream, { reportCount: stream.reportCount + 1 });
        return [key, stream.version];
      });
  }

  private removeExpired(now: number): void {
    this.ownStreams.forEach(({ until }, key) => {
      if (until <= now) this.ownStreams.delete(key);
    });
  }

  private notifyListeners(): void {
    this.listeners.forEach((listener) => listener());
  }
}
