/** Models that the target serves and that the tree wants it to serve. */
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

/** Models in service. A model that the tree does not want is kept out of service until it is gone. */
export class ServedModels {
  constructor(
    private readonly target: AgentSettings['target'],
    private readonly follower: ConfigurationFollower,
    private readonly monitor: TargetMonitor,
  ) {}

  /**
   * Gives the models that the tree wants.
   *
   * @returns model names; nothing while no configuration is in force or the service declares none
   */
  listDesired(): readonly string[] | undefined {
    const catalogue = this.follower.inForce();
    if (catalogue.isErr()) return undefined;
    const models = catalogue.value.services.get(this.target.service)?.models ?? [];
    return models.length === 0 ? undefined : models;
  }

  listInService(): readonly string[] {
    const wanted = this.listDesired();
    return this.monitor.models.filter((model) => wanted?.includes(model) ?? true);
  }

  /**
   * Checks the model of a request. An engine would answer with an error that is no fault of the
   * caller while the model is being loaded.
   *
   * @param body - body of the request
   * @returns `no-target` when the model is wanted here but not in service
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
   * Explains an answer that may come from an engine that has lost its models: one that was restarted
   * while no request was in it shows no crash.
   *
   * @param status - status of the answer
   * @param body - body of the request
   * @returns `no-target` when the model was not loaded, so that the request did not run
   */
  async checkNotFound(status: number, body: Buffer): Promise<Refusal | undefined> {
    if (this.target.kind !== 'engine' || status !== NOT_FOUND_STATUS) return undefined;
    await this.monitor.checkNow();
    return this.checkModel(body);
  }
}
