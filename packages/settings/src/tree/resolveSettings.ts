/** Inheritance in the declaration tree. */
import { getParentPath } from './checkStructure.js';
import { defaultSettings, type Declarations, type InheritedSettings } from './declarations.js';

/** Settings of one node, as a schema with optional fields gives them. */
export type SettingsOverrides = {
  readonly [Name in keyof InheritedSettings]?: InheritedSettings[Name] | undefined;
};

/**
 * Overrides settings with those that a node sets.
 *
 * @param inherited - settings of the parent
 * @param overrides - settings of the node; absent ones are inherited
 * @returns the effective settings
 */
export const overrideSettings = (
  inherited: InheritedSettings,
  overrides: SettingsOverrides,
): InheritedSettings => {
  const present = Object.entries(overrides).filter(([, value]) => value !== undefined);
  return { ...inherited, ...(Object.fromEntries(present) as Partial<InheritedSettings>) };
};

/**
 * Gives the effective settings of a node.
 *
 * @param tree - the declaration tree
 * @param path - path of the node; missing nodes on the way inherit everything
 * @returns the defaults, overridden by each node from the root down to the path
 */
export const resolveSettings = (tree: Declarations, path: string): InheritedSettings => {
  const inherited = path === '' ? defaultSettings : resolveSettings(tree, getParentPath(path));
  return overrideSettings(inherited, tree.nodes[path]?.settings ?? {});
};
