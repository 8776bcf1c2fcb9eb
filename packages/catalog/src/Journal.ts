/** Structured logs: numbered events of the catalogue, written by bunyan to standard error. */
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
 * @returns the journal
 */
export const openJournal = (
  processName: string,
  level: bunyan.LogLevelString = 'info',
): Journal => {
  const logger = bunyan.createLogger({ name: processName, level, stream: process.stderr });
  return {
    record(name, facts = {}) {
      const event = logEvents[name];
      logger[event.severity]({ event: event.number, eventName: name, ...facts }, event.message);
    },
  };
};

/** A journal that writes nothing, for tests and tools. */
export const silentJournal: Journal = { record: () => undefined };
