/** Lookups on one version of the configuration, computed once when the version is adopted. */
import { createHash } from 'node:crypto';
import { getNodeName, getParentPath } from './checkStructure.js';
import type { Configuration } from './configuration.js';
import type { Declaration, InheritedSettings } from './declarations.js';
import { overrideSettings, resolveSettings } from './resolveSettings.js';

/** A client account with its effective settings. */
export interface Account {
  readonly name: string;
  readonly settings: InheritedSettings;
}

/** A granted key with its account and effective settings. */
export interface GrantedKey {
  readonly id: string;
  readonly account: Account;
  readonly settings: InheritedSettings;
}

/** A service with its effective settings. */
export interface Service {
  readonly name: string;
  readonly protocol: 'openai' | 'plain';
  readonly models: readonly string[];
  readonly settings: InheritedSettings;
}

/** A declared route with its effective settings. */
export interface Route {
  readonly name: string;
  readonly methods: readonly string[];
  readonly path: string;
  readonly service: Service;
  readonly repeatable: boolean;
  readonly open: boolean;
  readonly identityField?: string;
  readonly settings: InheritedSettings;
}

/** A failure domain with its region and effective settings. */
export interface FailureDomain {
  readonly name: string;
  readonly region: string;
  readonly settings: InheritedSettings;
}

/** Lookups on one version of the configuration. */
export interface ResolvedConfiguration {
  readonly version: number;
  readonly configuration: Configuration;
  readonly accounts: ReadonlyMap<string, Account>;
  readonly services: ReadonlyMap<string, Service>;
  readonly routes: readonly Route[];
  readonly failureDomains: ReadonlyMap<string, FailureDomain>;
  /**
   * Finds the granted key that a caller shows.
   *
   * @param secret - the whole key as the caller sent it
   * @returns the key, or nothing when it is unknown or withdrawn
   */
  findKey(secret: string): GrantedKey | undefined;
  /**
   * Tells whether a key is granted.
   *
   * @param id - key id
   * @returns the key, or nothing when it is unknown or withdrawn
   */
  findKeyById(id: string): GrantedKey | undefined;
  /**
   * Finds the service that serves a model.
   *
   * @param model - model name
   * @returns the service, or nothing
   */
  findServiceForModel(model: string): Service | undefined;
  /**
   * Finds a declared route.
   *
   * @param method - HTTP method
   * @param path - path without query
   * @returns the route, or nothing
   */
  findRoute(method: string, path: string): Route | undefined;
  /**
   * Tells whether an operator drains a host.
   *
   * @param host - name of the host
   * @returns whether its target gets no new work
   */
  isDrained(host: string): boolean;
}

/**
 * Hashes a key for storage and look-up.
 *
 * @param secret - the whole key
 * @returns SHA-256 in hex
 */
export const hashKey = (secret: string): string =>
  createHash('sha256').update(secret).digest('hex');

type NodeOf<Kind extends Declaration['kind']> = Extract<Declaration, { kind: Kind }>;

/**
 * Computes the lookups on a version.
 *
 * @param configuration - a version that passed the checks of schema and structure
 * @returns the lookups
 */
export const resolveConfiguration = (configuration: Configuration): ResolvedConfiguration => {
  const { declarations: tree, keys } = configuration.content;
  const drainedHosts = new Set(configuration.content.drainedHosts);
  const nodesOf = <Kind extends Declaration['kind']>(kind: Kind): [string, NodeOf<Kind>][] =>
    Object.entries(tree.nodes).filter(
      (entry): entry is [string, NodeOf<Kind>] => entry[1].kind === kind,
    );
  const accounts = new Map(
    nodesOf('account').map(([path]) => [
      getNodeName(path),
      { name: getNodeName(path), settings: resolveSettings(tree, path) },
    ]),
  );
  const services = new Map(
    nodesOf('service').map(([path, { protocol, models }]) => [
      getNodeName(path),
      { name: getNodeName(path), protocol, models, settings: resolveSettings(tree, path) },
    ]),
  );
  const failureDomains = new Map(
    nodesOf('failureDomain').map(([path]) => [
      getNodeName(path),
      {
        name: getNodeName(path),
        region: getNodeName(getParentPath(path)),
        settings: resolveSettings(tree, path),
      },
    ]),
  );
  const routes = nodesOf('route').flatMap(([path, node]): Route[] => {
    const service = services.get(node.service);
    if (!service) return [];
    const { methods, repeatable, open, identityField } = node;
    const settings = resolveSettings(tree, path);
    const route = { name: path, methods, path: node.path, service, repeatable, open, settings };
    return [identityField === undefined ? route : { ...route, identityField }];
  });
  const grantedKeys = new Map<string, GrantedKey>();
  const idsByHash = new Map<string, string>();
  Object.entries(keys).forEach(([id, key]) => {
    const account = accounts.get(key.account);
    if (!account || key.state !== 'granted') return;
    grantedKeys.set(id, {
      id,
      account,
      settings: overrideSettings(account.settings, key.settings),
    });
    idsByHash.set(key.sha256, id);
  });
  return {
    version: configuration.version,
    configuration,
    accounts,
    services,
    routes,
    failureDomains,
    findKey(secret) {
      const id = idsByHash.get(hashKey(secret));
      return id === undefined ? undefined : grantedKeys.get(id);
    },
    findKeyById: (id) => grantedKeys.get(id),
    findServiceForModel: (model) =>
      [...services.values()].find((service) => service.models.includes(model)),
    findRoute: (method, path) =>
      routes.find((route) => route.path === path && route.methods.includes(method)),
    isDrained: (host) => drainedHosts.has(host),
  };
};
