/** Differences between two declaration trees. */
import { isDeepStrictEqual } from 'node:util';
import type { Declaration, Declarations } from './declarations.js';

/** Changed field of a node. An absent value means that this tree does not set the field. */
export interface FieldChange {
  /** Dotted path in the node, such as `settings.rate`. */
  readonly field: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

/** Changed node. */
export interface NodeChange {
  /** Path of the node; empty for the root. */
  readonly path: string;
  readonly change: 'added' | 'removed' | 'changed';
  readonly kind: Declaration['kind'];
  /** Changed fields; empty unless the node is in both trees. */
  readonly fields: readonly FieldChange[];
}

/** Returns the fields of a node by dotted path, with one entry per setting. */
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
  const [beforeFields, afterFields] = [flattenFields(before), flattenFields(after)];
  const names = new Set([...Object.keys(beforeFields), ...Object.keys(afterFields)]);
  return [...names]
    .filter((field) => !isDeepStrictEqual(beforeFields[field], afterFields[field]))
    .map((field) => ({
      field,
      ...(beforeFields[field] === undefined ? {} : { before: beforeFields[field] }),
      ...(afterFields[field] === undefined ? {} : { after: afterFields[field] }),
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
 * @param after - proposed tree
 * @returns the changed nodes, sorted by path
 */
export const diffDeclarations = (before: Declarations, after: Declarations): NodeChange[] => {
  const paths = new Set([...Object.keys(before.nodes), ...Object.keys(after.nodes)]);
  return [...paths].sort().flatMap((path) => diffNode(path, before.nodes[path], after.nodes[path]));
};
