/** Wires the agent. */
import 'reflect-metadata';
import { randomUUID } from 'node:crypto';
import { BodyBudget } from '@jacinthlug/control/bodies/BodyBudget';
import { computeProcessLimits } from '@jacinthlug/control/callers/computeProcessLimits';
import { createPeerConnectionPool } from '@jacinthlug/protocol/controlClient';
import { createControlListener } from '@jacinthlug/protocol/controlServer';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { refuse } from '@jacinthlug/catalog/resultCodes';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import {
  container as rootContainer,
  instanceCachingFactory,
  type DependencyContainer,
  type InjectionToken,
} from 'tsyringe';
import { Agent as Connections } from 'undici';
import { TargetSlots } from '../core/admission/TargetSlots.js';
import { GenerationCheck } from '../core/checks/GenerationCheck.js';
import { SentRequests } from '../core/checks/SentRequests.js';
import { InnerServer } from '../core/http/InnerServer.js';
import { createRunEndpoint } from '../core/http/runEndpoint.js';
import { CrashReporter } from '../core/lifecycle/CrashReporter.js';
import { LoadReporter } from '../core/lifecycle/LoadReporter.js';
import { ServingState } from '../core/lifecycle/ServingState.js';
import { Shutdown } from '../core/lifecycle/Shutdown.js';
import { ForwardedRequestHandler } from '../core/online/ForwardedRequestHandler.js';
import { RunningRequests } from '../core/online/RunningRequests.js';
import { FencingNumber } from '../core/orders/FencingNumber.js';
import { OrderReconciler } from '../core/orders/OrderReconciler.js';
import { sendOrder } from '../core/orders/sendOrder.js';
import { BatchAccess } from '../core/target/BatchAccess.js';
import { CrashDetector } from '../core/target/CrashDetector.js';
import { probeTarget } from '../core/target/probeTarget.js';
import { ServedModels } from '../core/target/ServedModels.js';
import { TargetClient } from '../core/target/TargetClient.js';
import { TargetMonitor } from '../core/target/TargetMonitor.js';
import type { AgentDependencies, DependencyContext } from './AgentDependencies.js';
import { tokens } from './tokens.js';

/** A wired agent. */
export interface Agent {
  /** Starts the target monitor, the server and the follower; resolves once the server listens. */
  start(): Promise<void>;
  /**
   * Stops gracefully.
   *
   * @returns the exit code
   */
  stop(): Promise<number>;
}

/** Options of {@link createAgent}. */
export interface AgentOptions {
  readonly settings: AgentSettings;
  readonly journal: Journal;
  readonly metrics: Metrics;
  createDependencies(context: DependencyContext): AgentDependencies;
}

/** Timeout for connecting to the target. Unit: ms. */
const CONNECT_TIMEOUT_MS = 500;

const createTargetConnectionPool = (): Connections =>
  new Connections({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    pipelining: 1,
    // Each request is aborted at its deadline; until then an engine may be idle for a long time.
    headersTimeout: 0,
    bodyTimeout: 0,
  });

const registerTarget = (container: DependencyContainer): void => {
  const once = <Part>(token: InjectionToken<Part>, create: () => Part): void => {
    container.register(token, { useFactory: instanceCachingFactory(create) });
  };
  const get = <Part>(token: InjectionToken<Part>): Part => container.resolve(token);
  const settings = get(tokens.settings);
  const { target } = settings;

  once(
    tokens.monitor,
    () => new TargetMonitor(target, get(tokens.targetConnections), get(tokens.journal)),
  );
  once(tokens.models, () => new ServedModels(target, get(tokens.follower), get(tokens.monitor)));
  once(
    tokens.serving,
    () =>
      new ServingState(settings, get(tokens.follower), get(tokens.membership), get(tokens.monitor)),
  );
  once(tokens.slots, () => {
    const serving = get(tokens.serving);
    return new TargetSlots(
      () => serving.getServiceSettings(),
      () => serving.getState() === 'serving',
      () => get(tokens.metrics).count('batch.preempted'),
    );
  });
  once(
    tokens.crashReporter,
    () =>
      new CrashReporter(
        settings,
        get(tokens.membership),
        get(tokens.peerConnections),
        get(tokens.journal),
      ),
  );
  once(
    tokens.crashWatch,
    () =>
      new CrashDetector(
        () => probeTarget(new URL(target.url)),
        (crash) => {
          get(tokens.monitor).markDown();
          void get(tokens.crashReporter).report(crash);
        },
      ),
  );
  once(
    tokens.client,
    () =>
      new TargetClient(
        target.url,
        get(tokens.targetConnections),
        get(tokens.crashWatch),
        get(tokens.journal),
        () => get(tokens.monitor).markDown(),
      ),
  );
  once(
    tokens.targetAccess,
    () =>
      new BatchAccess(
        get(tokens.slots),
        get(tokens.client),
        get(tokens.crashWatch),
        get(tokens.models),
      ),
  );
};

const registerOrders = (container: DependencyContainer): void => {
  const get = <Part>(token: InjectionToken<Part>): Part => container.resolve(token);
  const { target, name } = get(tokens.settings);
  const create = (): OrderReconciler =>
    new OrderReconciler({
      target,
      monitor: get(tokens.monitor),
      fencing: new FencingNumber(get(tokens.table), target.name, `${name}/${randomUUID()}`),
      journal: get(tokens.journal),
      metrics: get(tokens.metrics),
      listDesired: () => get(tokens.models).listDesired(),
      send: (number, order, signal) =>
        sendOrder(target.url, get(tokens.targetConnections), number, order, signal),
    });
  container.register(tokens.orders, { useFactory: instanceCachingFactory(create) });
};

const registerServer = (container: DependencyContainer): void => {
  const once = <Part>(token: InjectionToken<Part>, create: () => Part): void => {
    container.register(token, { useFactory: instanceCachingFactory(create) });
  };
  const get = <Part>(token: InjectionToken<Part>): Part => container.resolve(token);
  const settings = get(tokens.settings);

  once(tokens.running, () => new RunningRequests());
  once(
    tokens.load,
    () =>
      new LoadReporter(settings.target, get(tokens.slots), get(tokens.models), get(tokens.serving)),
  );
  once(
    tokens.onlinePath,
    () =>
      new ForwardedRequestHandler({
        target: settings.target,
        follower: get(tokens.follower),
        serving: get(tokens.serving),
        models: get(tokens.models),
        slots: get(tokens.slots),
        client: get(tokens.client),
        crashDetector: get(tokens.crashWatch),
        generations: new GenerationCheck(),
        sentRequests: new SentRequests(),
        journal: get(tokens.journal),
        metrics: get(tokens.metrics),
      }),
  );
  once(tokens.server, () => {
    const follower = get(tokens.follower);
    return new InnerServer({
      address: settings.inner,
      isReady: () => get(tokens.serving).getState() === 'serving' && follower.inForce().isOk(),
      runEndpoint: createRunEndpoint({
        fleetCredential: settings.fleetCredential,
        requestHandler: get(tokens.onlinePath),
        running: get(tokens.running),
        bodies: new BodyBudget(computeProcessLimits(settings.limits).bodyMemoryBytes),
        loadReporter: get(tokens.load),
        journal: get(tokens.journal),
        metrics: get(tokens.metrics),
      }),
      controlListener: createControlListener(
        {
          watchConfiguration: (question) => follower.handleWatch(question),
          reportLoad: () => Promise.resolve(get(tokens.load).report()),
          cancelJob: (notice) => Promise.resolve(get(tokens.batchWorker).cancelJob(notice)),
        },
        settings.fleetCredential,
      ),
    });
  });
};

/**
 * Wires an agent.
 *
 * @param options - settings, journal, metrics and the factory of the dependencies
 * @returns the agent, not started
 */
export const createAgent = (options: AgentOptions): Agent => {
  const { settings, journal, metrics } = options;
  const container = rootContainer.createChildContainer();
  const peers = createPeerConnectionPool();
  const dependencies = options.createDependencies({ settings, journal, metrics, peers });
  const targetConnections = createTargetConnectionPool();
  container.register(tokens.settings, { useValue: settings });
  container.register(tokens.journal, { useValue: journal });
  container.register(tokens.metrics, { useValue: metrics });
  container.register(tokens.peerConnections, { useValue: peers });
  container.register(tokens.targetConnections, { useValue: targetConnections });
  container.register(tokens.follower, { useValue: dependencies.follower });
  container.register(tokens.membership, { useValue: dependencies.membership });
  container.register(tokens.table, { useValue: dependencies.table });
  registerTarget(container);
  registerOrders(container);
  registerServer(container);

  const { follower } = dependencies;
  const slots = container.resolve(tokens.slots);
  const monitor = container.resolve(tokens.monitor);
  const running = container.resolve(tokens.running);
  const server = container.resolve(tokens.server);
  const orders = container.resolve(tokens.orders);
  const batchWorker = dependencies.createBatchWorker(container.resolve(tokens.targetAccess));
  container.register(tokens.batchWorker, { useValue: batchWorker });
  const started = new AbortController();

  const closeResources = async (): Promise<void> => {
    started.abort();
    await orders.stop();
    await monitor.stop();
    await follower.stop();
    await server.close();
    await Promise.all([targetConnections.destroy(), peers.destroy(), dependencies.close()]);
    metrics.close();
  };
  const shutdown = new Shutdown({
    settings,
    serving: container.resolve(tokens.serving),
    running,
    batchWorker,
    journal,
    closeResources,
  });

  follower.onAdopt((configuration) => {
    running.abortWithdrawn(configuration);
    slots.schedule();
    orders.wake();
  });
  monitor.onChange(() => {
    orders.wake();
    if (monitor.isUp) slots.schedule();
    else slots.refuseWaiting(refuse('no-target'));
  });

  return {
    async start() {
      await monitor.start();
      await server.listen();
      journal.record('process-started', { address: settings.inner });
      void follower.start(started.signal).then(() => {
        if (started.signal.aborted) return;
        batchWorker.start();
        if (settings.target.kind === 'engine') orders.start();
        journal.record('process-ready');
      });
    },
    stop: () => shutdown.request(),
  };
};
