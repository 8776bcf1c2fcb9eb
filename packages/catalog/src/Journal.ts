/** Structured logging of the catalogued events with bunyan. */
import bunyan from 'bunyan';
import { logEvents, type LogEventName } from './logEvents.js';

/** Event log of a process. */
export interface Journal {
  /**
   * Writes an event.
   *
   * @param name - name of the event in the catalogue
   * @param facts - fields of this occurrence; never an API key or a credential
   */
  record(name: LogEventName, facts?: Readonly<Record<string, unknown>>): void;
}

/**
 * Opens the log of a process.
 *
 * @param processName - name of the process, as in its settings
 * @param level - minimum severity
 * @param stream - destination of the log lines
 * @returns the journal
 */
export const openJournal = (
  processName: string,
  level: bunyan.LogLevelString = 'info',
  stream: NodeJS.WritableStream = process.stderr,
): Journal => {
  const logger = bunyan.createLogger({ name: processName, level, stream });
  return {
    record(name, facts = {}) {
      const event = logEvents[name];
      logger[event.severity]({ event: event.number, eventName: name, ...facts }, event.message);
    },
  };
};

/** Sustained rate of a rate-limited journal, several times what a busy host writes. Unit: lines a second. */
const MAX_LINES_PER_SECOND = 200;

/** Burst of a rate-limited journal. Unit: lines. */
const MAX_BURST_LINES = 1000;

/**
 * Limits the rate of a journal with a token bucket. Dropped lines are counted, and their number is
 * written before the next line.
 *
 * @param journal - the journal to write to
 * @param now - monotonic clock. Unit: ms
 * @returns a journal that drops lines beyond the limit
 */
export const createRateLimitedJournal = (
  journal: Journal,
  now = () => performance.now(),
): Journal => {
  let availableLines = MAX_BURST_LINES;
  let refilledAt = now();
  let droppedLines = 0;
  return {
    record(name, facts) {
      const time = now();
      availableLines = Math.min(
        MAX_BURST_LINES,
        availableLines + ((time - refilledAt) / 1000) * MAX_LINES_PER_SECOND,
      );
      refilledAt = time;
      if (availableLines < 1) {
        droppedLines += 1;
        return;
      }
      if (droppedLines > 0) journal.record('lines-dropped', { lines: droppedLines });
      droppedLines = 0;
      availableLines -= 1;
      journal.record(name, facts);
    },
  };
};

/** Discards all events, for tests and tools. */
export const silentJournal: Journal = { record: () => undefined };
