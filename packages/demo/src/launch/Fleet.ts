/** Starts a fleet of processes on 127.0.0.1: stand-ins, entry hosts and agents. */
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
/** Short, so that the demonstration stops quickly; load balancers in production need longer. */
const SHUTDOWN_GRACE_MS = 200;

const getScriptPath = (packageName: string, script: string): string =>
  fileURLToPath(new URL(`../../../../${packageName}/dist/src/${script}`, import.meta.url));

const getDeploymentFolder = (name: string): string =>
  fileURLToPath(new URL(`../../../deployments/${name}`, import.meta.url));

/** Labels of a host in the host list. */
interface HostLabels {
  readonly name: string;
  readonly role: 'entry' | 'agent';
  readonly failure_domain: string;
  readonly region: string;
  readonly state: 'live' | 'leaving';
  readonly service?: string;
  readonly target?: string;
}

/** An entry host or an agent of the fleet. */
export interface FleetHost {
  readonly name: string;
  readonly failureDomain: string;
  /** Address of the protocol between hosts, as `ip:port`. */
  readonly inner: string;
  /** Base URL for callers; set for entry hosts only. */
  readonly url?: string;
  /** Base URL of the target; set for agents only. */
  readonly targetUrl?: string;
  process: LaunchedProcess;
  /** Starts a new process with the same settings. */
  restart(): void;
}

/** A running fleet. */
export interface Fleet {
  readonly deployment: Deployment;
  /** Declaration tree that was applied at the start. */
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
  /** Granted keys by client account. */
  readonly keys: ReadonlyMap<string, GrantedKey>;
  /** Returns all launched processes, including those from before a restart. */
  processes(): LaunchedProcess[];
  /**
   * Changes the state of a host in the host list.
   *
   * @param host - name of the host
   * @param state - new state
   */
  setHostState(host: string, state: 'live' | 'leaving'): Promise<void>;
  /**
   * Stops every process.
   *
   * @returns names of the entry hosts and agents that did not exit with code 0
   */
  stop(): Promise<string[]>;
}

/** Options of {@link startFleet}. */
export interface FleetOptions {
  readonly deployment: DeploymentName;
  /** Whether the logs of all processes are passed to standard error. */
  readonly verbose: boolean;
  /** Additional command line options of each engine stand-in. */
  readonly engineArgs?: readonly string[];
  /** Number of engines. Defaults to that of the deployment. */
  readonly engines?: number;
  /** Additional settings of each agent. */
  readonly agentSettings?: Readonly<Record<string, unknown>>;
  /** Additional settings of each entry host. */
  readonly entrySettings?: Readonly<Record<string, unknown>>;
  /** Settings that override those of nodes of the declaration tree, by node path. */
  readonly nodeSettings?: Readonly<Record<string, Declaration['settings']>>;
}

const overrideNodeSettings = (
  tree: Declarations,
  overrides: NonNullable<FleetOptions['nodeSettings']>,
): Declarations => {
  const nodes = { ...tree.nodes };
  Object.entries(overrides).forEach(([path, settings]) => {
    const node = nodes[path];
    if (!node) throw new Error(`node "${path}" is not declared`);
    nodes[path] = { ...node, settings: { ...node.settings, ...settings } };
  });
  return { nodes };
};

/**
 * Starts a fleet and waits until it is ready.
 *
 * @param options - deployment and overrides
 * @returns the running fleet
 */
export const startFleet = async (options: FleetOptions): Promise<Fleet> => {
  const preset: Deployment = deployments[options.deployment];
  const deployment = { ...preset, engines: options.engines ?? preset.engines };
  const { failureDomains, region } = deployment;
  const tree = await readDeclarationFolder(getDeploymentFolder(options.deployment));
  if (tree.isErr()) throw new Error(formatMistakes(tree.error));
  const declarations = overrideNodeSettings(tree.value, options.nodeSettings ?? {});

  const targets = deployment.engines + deployment.services;
  const ports = await pickPorts(3 + targets * 2 + ENTRY_HOSTS * 2);
  const nextPort = (): number => {
    const port = ports.pop();
    if (port === undefined) throw new Error('more ports are needed than were picked');
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
    const hostProcesses = launched.filter((child) => !isStandin(child));
    const exitCodes = await Promise.all(hostProcesses.map((child) => child.stop(STOP_TIMEOUT_MS)));
    // Stand-ins stop last, because hosts still write to the platform during a graceful shutdown.
    await Promise.all(launched.filter(isStandin).map((child) => child.stop(STOP_TIMEOUT_MS)));
    await rm(folder, { recursive: true, force: true });
    return hostProcesses.filter((_, index) => exitCodes[index] !== 0).map(({ name }) => name);
  };

  try {
    const launchStandin = (kind: string, name: string, args: readonly string[] = []): string => {
      const port = nextPort();
      const script = getScriptPath('standins', `standin-${kind}.js`);
      launch(`standin-${name}`, script, ['--host', LOOPBACK, '--port', String(port), ...args]);
      return `http://${LOOPBACK}:${port}`;
    };
    const createNames = (count: number, prefix: string): string[] =>
      Array.from({ length: count }, (_, index) => `${prefix}-${index + 1}`);

    const table = launchStandin('table', 'table');
    const objects = launchStandin('objects', 'objects');
    const hosts = launchStandin('hosts', 'hosts');
    const engineNames = createNames(deployment.engines, 'engine');
    const serviceNames = createNames(deployment.services, 'service');
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
    const getFailureDomain = (index: number): string =>
      failureDomains[index % failureDomains.length] ?? region;

    const launchHost = async (
      role: 'entry' | 'agent',
      name: string,
      failureDomain: string,
      roleSettings: Record<string, unknown>,
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
        ...roleSettings,
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
        getFailureDomain(index),
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
        getFailureDomain(index),
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
    const entries = await Promise.all(createNames(ENTRY_HOSTS, 'entry').map(launchEntry));
    const agents = await Promise.all([
      ...engineNames.map((name, index) => launchAgent(name, index, 'engine', engines[index] ?? '')),
      ...serviceNames.map((name, index) =>
        launchAgent(name, index, 'service', services[index] ?? ''),
      ),
    ]);
    await waitUntil('publication of the host list', READY_TIMEOUT_MS, publishHosts);

    const firstUrl = entries[0]?.url ?? '';
    const operator = createOperatorClient(firstUrl, operatorCredential);
    await waitForSuccess(`${firstUrl}/healthz`, READY_TIMEOUT_MS);
    await waitUntil('acceptance of the first configuration', READY_TIMEOUT_MS, async () => {
      await operator.applyDeclarations(0, declarations);
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
        waitUntil('adoption of the keys by each entry host', READY_TIMEOUT_MS, async () => {
          const headers = { authorization: `Bearer ${lastKey}` };
          return (await fetch(`${url ?? ''}/v1/models`, { headers })).ok;
        }),
      ),
    );
    return {
      deployment,
      declarations,
      entries,
      agents,
      standins: { engines, services, table, objects, hosts },
      operator,
      keys,
      processes: () => [...launched],
      async setHostState(name, state) {
        const index = labels.findIndex(({ label }) => label.name === name);
        const current = labels[index];
        if (!current) throw new Error(`unknown host ${name}`);
        labels[index] = { ...current, label: { ...current.label, state } };
        await publishHosts();
      },
      stop: stopAll,
    };
  } catch (error) {
    await stopAll();
    throw error;
  }
};
