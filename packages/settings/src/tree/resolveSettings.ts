/** Inheritance of settings in the declaration tree. */
import { getParentPath } from './checkStructure.js';
import { defaultSettings, type Declarations, type InheritedSettings } from './declarations.js';

/** Settings that a node overrides. The optional fields of the schema may be undefined. */
export type SettingsOverrides = {
  readonly [Name in keyof InheritedSettings]?: InheritedSettings[Name] | undefined;
};

/**
 * Overrides inherited settings with those of a node.
 *
 * @param inherited - settings of the parent
 * @param overrides - settings of the node; undefined ones are inherited
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
 * Returns the effective settings of a node.
 *
 * @param tree - the declaration tree
 * @param path - path of the node; undeclared nodes on it inherit everything
 * @returns the defaults, overridden by each node from the root to the path
 */
export const resolveSettings = (tree: Declarations, path: string): InheritedSettings => {
  const inherited = path === '' ? defaultSettings : resolveSettings(tree, getParentPath(path));
  return overrideSettings(inherited, tree.nodes[path]?.settings ?? {});
};
