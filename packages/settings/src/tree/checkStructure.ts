/** Checks of the declaration tree that involve more than one node. */
import type { Declaration, DeclarationKind, Declarations } from './declarations.js';

/** Structural mistake of a node. */
export interface StructureMistake {
  /** Path of the node. */
  readonly path: string;
  readonly message: string;
}

const containerKinds: ReadonlySet<DeclarationKind> = new Set([
  'root',
  'group',
  'region',
  'service',
]);

/** Kinds whose names must be unique, because they are referenced without their path. */
const uniqueKinds: ReadonlySet<DeclarationKind> = new Set([
  'region',
  'failureDomain',
  'service',
  'account',
]);

/**
 * Returns the path of the parent of a node.
 *
 * @param path - path of a node below the root
 * @returns the path of its parent; empty for the root
 */
export const getParentPath = (path: string): string =>
  path.slice(0, Math.max(0, path.lastIndexOf('/')));

/**
 * Returns the name of a node.
 *
 * @param path - path of the node
 * @returns last segment of the path
 */
export const getNodeName = (path: string): string => path.slice(path.lastIndexOf('/') + 1);

const checkParent = (nodes: Declarations['nodes'], path: string, node: Declaration): string[] => {
  if (path === '') return node.kind === 'root' ? [] : ['the root node must be of kind "root"'];
  if (node.kind === 'root') return ['only the node with the empty path may be of kind "root"'];
  const parent = nodes[getParentPath(path)];
  const parentKind = parent?.kind ?? 'group';
  if (node.kind === 'failureDomain' && parentKind !== 'region') {
    return ['a failure domain must be below a region'];
  }
  return containerKinds.has(parentKind) ? [] : [`a node of kind "${parentKind}" has no children`];
};

const checkReferences = (nodes: Declarations['nodes'], node: Declaration): string[] => {
  if (node.kind !== 'route') return [];
  const isDeclared = Object.entries(nodes).some(
    ([path, other]) => other.kind === 'service' && getNodeName(path) === node.service,
  );
  return isDeclared ? [] : [`no service "${node.service}" is declared`];
};

const checkUniqueness = (
  nodes: Declarations['nodes'],
  path: string,
  node: Declaration,
): string[] => {
  if (node.kind === 'route') {
    const duplicate = Object.entries(nodes).find(
      ([other, route]) =>
        other !== path &&
        route.kind === 'route' &&
        route.path === node.path &&
        route.methods.some((method) => node.methods.includes(method)),
    );
    return duplicate ? [`"${duplicate[0]}" declares the same path and method`] : [];
  }
  if (!uniqueKinds.has(node.kind)) return [];
  const duplicate = Object.entries(nodes).find(
    ([other, { kind }]) =>
      other !== path && kind === node.kind && getNodeName(other) === getNodeName(path),
  );
  return duplicate ? [`"${duplicate[0]}" has the same name and kind`] : [];
};

/**
 * Checks parents, references and unique names.
 *
 * @param tree - tree that matches its schema
 * @returns all mistakes; empty if there are none
 */
export const checkStructure = ({ nodes }: Declarations): StructureMistake[] =>
  Object.entries(nodes).flatMap(([path, node]) =>
    [
      ...checkParent(nodes, path, node),
      ...checkReferences(nodes, node),
      ...checkUniqueness(nodes, path, node),
    ].map((message) => ({ path, message })),
  );
