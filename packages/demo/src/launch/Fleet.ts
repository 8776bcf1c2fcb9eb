/** Starts a whole fleet on 127.0.0.1: stand-ins, entry hosts and agents. */
import { createHash, randomBytes } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { readDeclarationFolder } from '@jacinthlug/settings/tree/readDeclarationFolder';
import type { Declaration, Declarations } from '@jacinthlug/settings/tree/declarations';
import { formatMistakes } from '@jacinthlug/settings/file/parseJsonc';
import type { Deployment, DeploymentName } from './deployments.js';
import { deployments } from './deployments.js';
import { launchProcess, type LaunchedProcess } from './LaunchedProcess.js';
import { createOperatorClient, type GrantedKey, type OperatorClient } from './OperatorClient.js';
import { pickPorts } from './pickPorts.js';
import { waitForSuccess, waitUntil } from './waitUntil.js';

const LOOPBACK = '127.0.0.1';
const ENTRY_HOSTS = 2;
const READY_TIMEOUT_MS = 30_000;
const STOP_TIMEOUT_MS = 15_000;
/** Short, so that a demonstration ends soon; balancers in operation need longer. */
const SHUTDOWN_GRACE_MS = 200;

const getScriptPath = (packageName: string, script: string): string =>
  fileURLToPath(new URL(`../../../../${packageName}/dist/src/${script}`, import.meta.url));

const getDeploymentFolder = (name: string): string =>
  fileURLToPath(new URL(`../../../deployments/${name}`, import.meta.url));

interface HostLabels {
  readonly name: string;
  readonly role: 'entry' | 'agent';
  readonly failure_domain: string;
  readonly region: string;
  readonly state: 'live' | 'leaving';
  readonly service?: string;
  readonly target?: string;
}

/** A process of the product with its inner address. */
export interface FleetHost {
  readonly name: string;
  readonly failureDomain: string;
  /** Inner address, as `ip:port`. */
  readonly inner: string;
  /** Base URL for callers; entry hosts only. */
  readonly url?: string;
  /** Base URL of the target; agents only. */
  readonly targetUrl?: string;
  process: LaunchedProcess;
  /** Starts the process again with the same settings. */
  restart(): void;
}

/** A running fleet. */
export interface Fleet {
  readonly deployment: Deployment;
  /** The declaration tree that was applied. */
  readonly declarations: Declarations;
  readonly entries: readonly FleetHost[];
  readonly agents: readonly FleetHost[];
  readonly standins: {
    readonly engines: readonly string[];
    readonly services: readonly string[];
    readonly table: string;
    readonly objects: string;
    readonly hosts: string;
  };
  readonly operator: OperatorClient;
  /** Granted keys by account. */
  readonly keys: ReadonlyMap<string, GrantedKey>;
  processes(): LaunchedProcess[];
  /**
   * Tells the host list that a host leaves or is live.
   *
   * @param host - name of the host
   * @param state - what the list says
   */
  setHostState(host: string, state: 'live' | 'leaving'): Promise<void>;
  /**
   * Stops every process.
   *
   * @returns names of processes of the product that did not end with exit code 0
   */
  stop(): Promise<string[]>;
}

/** What to start. */
export interface FleetOptions {
  readonly deployment: DeploymentName;
  /** Whether logs are passed on to standard error. */
  readonly verbose: boolean;
  /** Further options of each engine stand-in. */
  readonly engineArgs?: readonly string[];
  /** Number of engines; that of the deployment when absent. */
  readonly engines?: number;
  /** Further settings of each agent. */
  readonly agentSettings?: Readonly<Record<string, unknown>>;
  /** Further settings of each entry host. */
  readonly entrySettings?: Readonly<Record<string, unknown>>;
  /** Settings of nodes of the declaration tree that replace those of the files, by path. */
  readonly nodeSettings?: Readonly<Record<string, Declaration['settings']>>;
}

const overrideNodeSettings = (
  tree: Declarations,
  overrides: NonNullable<FleetOptions['nodeSettings']>,
): Declarations => {
  const nodes = { ...tree.nodes };
  Object.entries(overrides).forEach(([path, settings]) => {
    const node = nodes[path];
    if (!node) throw new Error(`no node "${path}" is declared`);
    nodes[path] = { ...node, settings: { ...node.settings, ...settings } };
  });
  return { nodes };
};

/**
 * Starts a fleet and waits until it is ready.
 *
 * @param options - what to start
 * @returns the running fleet
 */
export const startFleet = async (options: FleetOptions): Promise<Fleet> => {
  const named: Deployment = deployments[options.deployment];
  const deployment = { ...named, engines: options.engines ?? named.engines };
  const { failureDomains, region } = deployment;
  const tree = await readDeclarationFolder(getDeploymentFolder(options.deployment));
  if (tree.isErr()) throw new Error(formatMistakes(tree.error));
  const wanted = overrideNodeSettings(tree.value, options.nodeSettings ?? {});

  const targets = deployment.engines + deployment.services;
  const ports = await pickPorts(3 + targets * 2 + ENTRY_HOSTS * 2);
  const nextPort = (): number => {
    const port = ports.pop();
    if (port === undefined) throw new Error('too few ports were picked');
    return port;
  };
  const folder = await mkdtemp(join(tmpdir(), 'jacinthlug-demo-'));
  const launched: LaunchedProcess[] = [];
  const launch = (name: string, script: string, args: readonly string[]): LaunchedProcess => {
    const child = launchProcess({ name, script, args, verbose: options.verbose });
    launched.push(child);
    return child;
  };
  const stopAll = async (): Promise<string[]> => {
    const isStandin = ({ name }: LaunchedProcess) => name.startsWith('standin');
    const product = launched.filter((child) => !isStandin(child));
    const codes = await Promise.all(product.map((child) => child.stop(STOP_TIMEOUT_MS)));
    // The platform goes last: a graceful shutdown still writes to it.
    await Promise.all(launched.filter(isStandin).map((child) => child.stop(STOP_TIMEOUT_MS)));
    await rm(folder, { recursive: true, force: true });
    return product.filter((_, index) => codes[index] !== 0).map(({ name }) => name);
  };

  try {
    const launchStandin = (kind: string, name: string, args: readonly string[] = []): string => {
      const port = nextPort();
      const script = getScriptPath('standins', `standin-${kind}.js`);
      launch(`standin-${name}`, script, ['--host', LOOPBACK, '--port', String(port), ...args]);
      return `http://${LOOPBACK}:${port}`;
    };
    const numbered = (count: number, prefix: string): string[] =>
      Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`);

    const table = launchStandin('table', 'table');
    const objects = launchStandin('objects', 'objects');
    const hosts = launchStandin('hosts', 'hosts');
    const engineNames = numbered(deployment.engines, 'engine');
    const serviceNames = numbered(deployment.services, 'service');
    const engines = engineNames.map((name) =>
      launchStandin('engine', name, ['--model', deployment.model, ...(options.engineArgs ?? [])]),
    );
    const services = serviceNames.map((name) => launchStandin('service', name));

    const operatorCredential = randomBytes(24).toString('hex');
    const fleetCredential = randomBytes(24).toString('hex');
    const labels: { address: string; label: HostLabels }[] = [];
    const publishHosts = async (): Promise<boolean> => {
      const body = labels.map(({ address, label }) => ({ targets: [address], labels: label }));
      const response = await fetch(`${hosts}/hosts`, {
        method: 'PUT',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
      });
      return response.ok;
    };
    const domainAt = (index: number): string =>
      failureDomains[index % failureDomains.length] ?? region;

    const launchHost = async (
      role: 'entry' | 'agent',
      name: string,
      failureDomain: string,
      particular: Record<string, unknown>,
      label: Partial<HostLabels>,
    ): Promise<Omit<FleetHost, 'url' | 'targetUrl'>> => {
      const innerPort = nextPort();
      const file = join(folder, `${name}.jsonc`);
      const settings = {
        name,
        region,
        failureDomain,
        inner: { host: LOOPBACK, port: innerPort },
        fleetCredential,
        platform: { table: { url: table }, objects: { url: objects }, hosts: { url: hosts } },
        graceMs: SHUTDOWN_GRACE_MS,
        ...particular,
      };
      await writeFile(file, JSON.stringify(settings, null, 2));
      const address = `${LOOPBACK}:${innerPort}`;
      labels.push({
        address,
        label: { name, role, failure_domain: failureDomain, region, state: 'live', ...label },
      });
      const start = () =>
        launch(name, getScriptPath(role, `jacinthlug-${role}.js`), ['--settings', file]);
      const host = {
        name,
        failureDomain,
        inner: address,
        process: start(),
        restart() {
          host.process = start();
        },
      };
      return host;
    };

    const launchEntry = async (name: string, index: number): Promise<FleetHost> => {
      const port = nextPort();
      const host = await launchHost(
        'entry',
        name,
        domainAt(index),
        {
          ...options.entrySettings,
          outer: { host: LOOPBACK, port },
          operatorCredentialSha256: createHash('sha256').update(operatorCredential).digest('hex'),
        },
        {},
      );
      return Object.assign(host, { url: `http://${LOOPBACK}:${port}` });
    };
    const launchAgent = async (
      target: string,
      index: number,
      kind: 'engine' | 'service',
      url: string,
    ): Promise<FleetHost> => {
      const service = kind === 'engine' ? deployment.engineService : deployment.plainService;
      const host = await launchHost(
        'agent',
        `agent-${target}`,
        domainAt(index),
        { ...options.agentSettings, target: { name: target, service, url, kind } },
        { service, target },
      );
      return Object.assign(host, { targetUrl: url });
    };

    await Promise.all(
      [table, objects, hosts, ...engines, ...services].map((url) =>
        waitForSuccess(`${url}/_standin/health`, READY_TIMEOUT_MS),
      ),
    );
    const entries = await Promise.all(numbered(ENTRY_HOSTS, 'entry').map(launchEntry));
    const agents = await Promise.all([
      ...engineNames.map((name, index) => launchAgent(name, index, 'engine', engines[index] ?? '')),
      ...serviceNames.map((name, index) =>
        launchAgent(name, index, 'service', services[index] ?? ''),
      ),
    ]);
    await waitUntil('host list', READY_TIMEOUT_MS, publishHosts);

    const firstUrl = entries[0]?.url ?? '';
    const operator = createOperatorClient(firstUrl, operatorCredential);
    await waitForSuccess(`${firstUrl}/healthz`, READY_TIMEOUT_MS);
    await waitUntil('first configuration', READY_TIMEOUT_MS, async () => {
      await operator.applyDeclarations(0, wanted);
      return true;
    });
    await Promise.all([
      ...entries.map(({ url }) => waitForSuccess(`${url ?? ''}/readyz`, READY_TIMEOUT_MS)),
      ...agents.map(({ inner }) => waitForSuccess(`http://${inner}/readyz`, READY_TIMEOUT_MS)),
    ]);
    const keys = new Map<string, GrantedKey>();
    for (const account of deployment.accounts) {
      keys.set(account, await operator.grantKey(account));
    }
    const lastKey = [...keys.values()].at(-1)?.secret ?? '';
    await Promise.all(
      entries.map(({ url }) =>
        waitUntil('keys at each entry host', READY_TIMEOUT_MS, async () => {
          const headers = { authorization: `Bearer ${lastKey}` };
          return (await fetch(`${url ?? ''}/v1/models`, { headers })).ok;
        }),
      ),
    );
    return {
      deployment,
      declarations: wanted,
      entries,
      agents,
      standins: { engines, services, table, objects, hosts },
      operator,
      keys,
      processes: () => [...launched],
      async setHostState(name, state) {
        const at = labels.findIndex(({ label }) => label.name === name);
        const entry = labels[at];
        if (!entry) throw new Error(`no host ${name}`);
        labels[at] = { ...entry, label: { ...entry.label, state } };
        await publishHosts();
      },
      stop: stopAll,
    };
  } catch (fault) {
    await stopAll();
    throw fault;
  }
};
