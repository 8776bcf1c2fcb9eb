/** Formats the text output of the commands. */
import type { NodeChange } from '@jacinthlug/settings/tree/diffDeclarations';
import type { BatchResponse } from './responses.js';

/**
 * Formats rows as aligned columns.
 *
 * @param rows - cells of each row, the heading first
 * @returns lines of text
 */
export const formatColumns = (rows: readonly (readonly string[])[]): string => {
  const widths = (rows[0] ?? []).map((_cell, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
};

/**
 * Formats a wall-clock time.
 *
 * @param time - ms since 1970
 * @returns the time in UTC as ISO 8601
 */
export const formatTime = (time: number): string => new Date(time).toISOString();

/**
 * Formats the path of a node.
 *
 * @param path - the path; empty for the root
 * @returns the path, or `(root)`
 */
export const formatPath = (path: string): string => path || '(root)';

const changeSigns = { added: '+', removed: '-', changed: '~' } as const;

/**
 * Formats the changes of a plan.
 *
 * @param changes - nodes that differ
 * @returns one line for each added or removed node and for each changed field, then a summary
 */
export const formatChanges = (changes: readonly NodeChange[]): string => {
  const lines = changes.flatMap(({ path, change, kind, fields }) => {
    const prefix = `${changeSigns[change]} ${formatPath(path)}`;
    if (change !== 'changed') return [`${prefix} (${kind})`];
    return fields.map(
      ({ field, before, after }) =>
        `${prefix}: ${field}: ${JSON.stringify(before) ?? 'unset'} -> ${JSON.stringify(after) ?? 'unset'}`,
    );
  });
  const count = (changeKind: NodeChange['change']): number =>
    changes.filter(({ change }) => change === changeKind).length;
  const summary = `${count('added')} added, ${count('removed')} removed, ${count('changed')} changed`;
  return [...lines, changes.length === 0 ? 'No changes.' : summary].join('\n');
};

/**
 * Formats a batch job.
 *
 * @param batch - the job
 * @returns lines of text
 */
export const formatBatch = ({ id, status, request_counts: counts }: BatchResponse): string => {
  const progress = counts
    ? ` (${counts.completed} completed, ${counts.failed} failed of ${counts.total})`
    : '';
  return `${id}: ${status}${progress}`;
};
