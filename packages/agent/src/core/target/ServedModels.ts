/** Models that the target serves, compared with those that the tree declares. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import * as z from 'zod';
import type { TargetMonitor } from './TargetMonitor.js';

const requestWithModel = z.looseObject({ model: z.string() });

const NOT_FOUND_STATUS = 404;

const readModelName = (body: Buffer): string | undefined => {
  try {
    return requestWithModel.safeParse(JSON.parse(body.toString('utf8'))).data?.model;
  } catch {
    return undefined;
  }
};

/**
 * Models in service. A model that the tree no longer declares is out of service even before it is
 * unloaded.
 */
export class ServedModels {
  constructor(
    private readonly target: AgentSettings['target'],
    private readonly follower: ConfigurationFollower,
    private readonly monitor: TargetMonitor,
  ) {}

  /**
   * Returns the models that the tree declares for the service.
   *
   * @returns model names; undefined while no configuration is in force or the service declares none
   */
  listDesired(): readonly string[] | undefined {
    const configuration = this.follower.inForce();
    if (configuration.isErr()) return undefined;
    const models = configuration.value.services.get(this.target.service)?.models ?? [];
    return models.length === 0 ? undefined : models;
  }

  listInService(): readonly string[] {
    const desired = this.listDesired();
    return this.monitor.models.filter((model) => desired?.includes(model) ?? true);
  }

  /**
   * Checks the model of a request. While a model is being loaded, an engine would respond with an
   * error that blames the caller.
   *
   * @param body - body of the request
   * @returns `no-target` when the model is declared for this target but not in service
   */
  checkModel(body: Buffer): Refusal | undefined {
    if (this.target.kind !== 'engine') return undefined;
    const inService = this.listInService();
    const pending = this.listDesired()?.filter((model) => !inService.includes(model)) ?? [];
    if (pending.length === 0) return undefined;
    const model = readModelName(body);
    const isPending = model !== undefined && pending.includes(model);
    return isPending ? refuse('no-target', { detail: `Model ${model} is not loaded.` }) : undefined;
  }

  /**
   * Checks whether a 404 comes from an engine that has lost its models. A restart while no request
   * was in flight is not detected as a crash.
   *
   * @param status - status of the response
   * @param body - body of the request
   * @returns `no-target` when the model was not loaded, so that the request did not run
   */
  async checkNotFound(status: number, body: Buffer): Promise<Refusal | undefined> {
    if (this.target.kind !== 'engine' || status !== NOT_FOUND_STATUS) return undefined;
    await this.monitor.checkNow();
    return this.checkModel(body);
  }
}
