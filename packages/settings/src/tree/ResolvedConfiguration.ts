/** Inherited settings and lookups of a configuration version, computed once when it is adopted. */
import { createHash } from 'node:crypto';
import { getNodeName, getParentPath } from './checkStructure.js';
import type { Configuration } from './configuration.js';
import type { Declaration, InheritedSettings } from './declarations.js';
import { overrideSettings, resolveSettings } from './resolveSettings.js';

/** Client account with its effective settings. */
export interface Account {
  readonly name: string;
  readonly settings: InheritedSettings;
}

/** Granted key with its account and effective settings. */
export interface GrantedKey {
  readonly id: string;
  readonly account: Account;
  readonly settings: InheritedSettings;
}

/** Service with its effective settings. */
export interface Service {
  readonly name: string;
  readonly protocol: 'openai' | 'plain';
  readonly models: readonly string[];
  readonly settings: InheritedSettings;
}

/** Route with its effective settings. */
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

/** Failure domain with its region and effective settings. */
export interface FailureDomain {
  readonly name: string;
  readonly region: string;
  readonly settings: InheritedSettings;
}

/** Version of the configuration with effective settings and lookups. */
export interface ResolvedConfiguration {
  readonly version: number;
  readonly configuration: Configuration;
  readonly accounts: ReadonlyMap<string, Account>;
  readonly services: ReadonlyMap<string, Service>;
  readonly routes: readonly Route[];
  readonly failureDomains: ReadonlyMap<string, FailureDomain>;
  /**
   * Finds a granted key by its secret.
   *
   * @param secret - complete key as the caller sent it
   * @returns the key, or undefined if it is unknown or withdrawn
   */
  findKey(secret: string): GrantedKey | undefined;
  /**
   * Finds a granted key by its id.
   *
   * @param id - key id
   * @returns the key, or undefined if it is unknown or withdrawn
   */
  findKeyById(id: string): GrantedKey | undefined;
  /**
   * Finds the service that serves a model.
   *
   * @param model - model name
   * @returns the service, or undefined
   */
  findServiceForModel(model: string): Service | undefined;
  /**
   * Finds a declared route.
   *
   * @param method - HTTP method
   * @param path - path without query
   * @returns the route, or undefined
   */
  findRoute(method: string, path: string): Route | undefined;
  /**
   * Checks whether an operator is draining a host.
   *
   * @param host - name of the host
   * @returns true if its target must not get new work
   */
  isDrained(host: string): boolean;
}

/**
 * Hashes a key for storage and lookup.
 *
 * @param secret - complete key
 * @returns SHA-256 in hexadecimal
 */
export const hashKey = (secret: string): string =>
  createHash('sha256').update(secret).digest('hex');

type NodeOf<Kind extends Declaration['kind']> = Extract<Declaration, { kind: Kind }>;

/**
 * Resolves the inherited settings of a version and indexes it.
 *
 * @param configuration - version that passed the checks of schema and structure
 * @returns the resolved version
 */
export const resolveConfiguration = (configuration: Configuration): ResolvedConfiguration => {
  const { declarations: tree, keys } = configuration.content;
  const drainedHosts = new Set(configuration.content.drainedHosts);
  const listNodes = <Kind extends Declaration['kind']>(kind: Kind): [string, NodeOf<Kind>][] =>
    Object.entries(tree.nodes).filter(
      (entry): entry is [string, NodeOf<Kind>] => entry[1].kind === kind,
    );
  const accounts = new Map(
    listNodes('account').map(([path]) => [
      getNodeName(path),
      { name: getNodeName(path), settings: resolveSettings(tree, path) },
    ]),
  );
  const services = new Map(
    listNodes('service').map(([path, { protocol, models }]) => [
      getNodeName(path),
      { name: getNodeName(path), protocol, models, settings: resolveSettings(tree, path) },
    ]),
  );
  const failureDomains = new Map(
    listNodes('failureDomain').map(([path]) => [
      getNodeName(path),
      {
        name: getNodeName(path),
        region: getNodeName(getParentPath(path)),
        settings: resolveSettings(tree, path),
      },
    ]),
  );
  const routes = listNodes('route').flatMap(([path, node]): Route[] => {
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
