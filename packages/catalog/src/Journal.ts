/** Structured logs: numbered events of the catalogue, written by bunyan. */
import bunyan from 'bunyan';
import { logEvents, type LogEventName } from './logEvents.js';

/** Writes catalogued events. */
export interface Journal {
  /**
   * Writes one event.
   *
   * @param name - name of the event in the catalogue
   * @param facts - what is particular to this occurrence; never a key or a credential
   */
  record(name: LogEventName, facts?: Readonly<Record<string, unknown>>): void;
}

/**
 * Opens the log of a process.
 *
 * @param processName - name of the process, as in its settings
 * @param level - least severity that is written
 * @param stream - where the lines go
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

/** Lines a second that a bounded journal writes on average: several times those of a busy host. */
const MAX_LINES_PER_SECOND = 200;

/** Lines that a bounded journal writes at once. */
const MAX_BURST_LINES = 1000;

/**
 * Bounds the volume of a journal. What is dropped is counted, and the count is written when there is
 * room again.
 *
 * @param journal - the journal to write to
 * @param now - monotonic time. Unit: ms
 * @returns a journal that drops lines beyond the bound
 */
export const createRateLimitedJournal = (
  journal: Journal,
  now = () => performance.now(),
): Journal => {
  let room = MAX_BURST_LINES;
  let filledAt = now();
  let dropped = 0;
  return {
    record(name, facts) {
      const time = now();
      room = Math.min(MAX_BURST_LINES, room + ((time - filledAt) / 1000) * MAX_LINES_PER_SECOND);
      filledAt = time;
      if (room < 1) {
        dropped += 1;
        return;
      }
      if (dropped > 0) journal.record('lines-dropped', { lines: dropped });
      dropped = 0;
      room -= 1;
      journal.record(name, facts);
    },
  };
};

/** A journal that writes nothing, for tests and tools. */
export const silentJournal: Journal = { record: () => undefined };
