/** Differences between two declaration trees. */
import { isDeepStrictEqual } from 'node:util';
import type { Declaration, Declarations } from './declarations.js';

/** A field of a node that differs; an absent value means that the side does not set the field. */
export interface FieldChange {
  /** Dotted path in the node, such as `settings.rate`. */
  readonly field: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

/** A node that differs. */
export interface NodeChange {
  /** Path of the node; empty for the root. */
  readonly path: string;
  readonly change: 'added' | 'removed' | 'changed';
  readonly kind: Declaration['kind'];
  /** Fields that differ; empty unless the node is in both trees. */
  readonly fields: readonly FieldChange[];
}

/** Fields of a node by dotted path; the settings are compared one by one. */
const flattenFields = ({
  settings,
  ...fields
}: Declaration): Readonly<Record<string, unknown>> => ({
  ...fields,
  ...Object.fromEntries(
    Object.entries(settings).map(([name, value]) => [`settings.${name}`, value]),
  ),
});

const diffFields = (before: Declaration, after: Declaration): FieldChange[] => {
  const [old, current] = [flattenFields(before), flattenFields(after)];
  const names = new Set([...Object.keys(old), ...Object.keys(current)]);
  return [...names]
    .filter((field) => !isDeepStrictEqual(old[field], current[field]))
    .map((field) => ({
      field,
      ...(old[field] === undefined ? {} : { before: old[field] }),
      ...(current[field] === undefined ? {} : { after: current[field] }),
    }));
};

const diffNode = (path: string, before?: Declaration, after?: Declaration): NodeChange[] => {
  if (before && after) {
    const fields = diffFields(before, after);
    return fields.length > 0 ? [{ path, change: 'changed', kind: after.kind, fields }] : [];
  }
  if (after) return [{ path, change: 'added', kind: after.kind, fields: [] }];
  return before ? [{ path, change: 'removed', kind: before.kind, fields: [] }] : [];
};

/**
 * Compares two trees node by node.
 *
 * @param before - tree in force
 * @param after - tree that would replace it
 * @returns the nodes that differ, in order of path
 */
export const diffDeclarations = (before: Declarations, after: Declarations): NodeChange[] => {
  const paths = new Set([...Object.keys(before.nodes), ...Object.keys(after.nodes)]);
  return [...paths].sort().flatMap((path) => diffNode(path, before.nodes[path], after.nodes[path]));
};
