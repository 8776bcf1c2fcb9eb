/** Renders the catalogues as pages of `docs/`. */
import { counters, timings } from './counterNames.js';
import { logEvents } from './logEvents.js';
import { resultCodes } from './resultCodes.js';

const renderTable = (head: readonly string[], rows: readonly (readonly string[])[]): string =>
  [head, head.map(() => '---'), ...rows].map((cells) => `| ${cells.join(' | ')} |`).join('\n');

const GENERATED_NOTICE = 'Generated from the catalogue by `npm run docs`; do not edit.';

const renderResultCodes = (): string =>
  [
    '# Result codes',
    '',
    GENERATED_NOTICE,
    '',
    'The body of every refusal is JSON with this `number` and `code`. Its `run` states whether the request',
    'was run; it is "not run" only when that is certain.',
    '',
    renderTable(
      ['number', 'code', 'HTTP', 'run', 'retry after', 'message', 'hint'],
      Object.entries(resultCodes).map(([name, entry]) => [
        String(entry.number),
        `\`${name}\``,
        String(entry.status),
        entry.run,
        entry.retryAfterSeconds === undefined ? '' : `${entry.retryAfterSeconds} s`,
        entry.message,
        entry.hint,
      ]),
    ),
    '',
  ].join('\n');

const renderEvents = (): string =>
  [
    '# Log events',
    '',
    GENERATED_NOTICE,
    '',
    'Logs are JSON lines on standard error, written by bunyan. `event` is the number.',
    '',
    renderTable(
      ['number', 'event', 'severity', 'message', 'what to do'],
      Object.entries(logEvents).map(([name, entry]) => [
        String(entry.number),
        `\`${name}\``,
        entry.severity,
        entry.message,
        entry.hint,
      ]),
    ),
    '',
  ].join('\n');

const renderCounters = (): string =>
  [
    '# Counters',
    '',
    GENERATED_NOTICE,
    '',
    'Sent to StatsD with the prefix `jacinthlug.` when `statsd` is set, and listed by `/healthz`.',
    '',
    renderTable(
      ['counter', 'tags', 'description'],
      Object.entries(counters).map(([name, entry]) => [
        `\`${name}\``,
        entry.tags.map((tag) => `\`${tag}\``).join(', '),
        entry.description,
      ]),
    ),
    '',
    '## Timings',
    '',
    'Recorded as histograms: the number of observations up to each bound, in ms.',
    '',
    renderTable(
      ['timing', 'description'],
      Object.entries(timings).map(([name, { description }]) => [`\`${name}\``, description]),
    ),
    '',
  ].join('\n');

/**
 * Renders all pages that are generated from a catalogue.
 *
 * @returns content by file name in `docs/`
 */
export const renderCatalogues = (): Readonly<Record<string, string>> => ({
  'result-codes.md': renderResultCodes(),
  'events.md': renderEvents(),
  'counters.md': renderCounters(),
});
