/** `POST /v1/chat/completions`. */
import { refuse } from '@jacinthlug/catalog/resultCodes';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { ResolvedConfiguration } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { err, ok } from 'neverthrow';
import * as z from 'zod';
import type { CallerHandler, Endpoint } from '../http/Exchange.js';
import { hashParts } from './OnlineRequest.js';
import type { OnlineRunner } from './OnlineRunner.js';
import { readRequest, type FindDestination, type StillServedCheck } from './readRequest.js';

/** Name of the OpenAI-compatible paths as a route. */
const ROUTE_NAME = 'openai';

/** Part of the prompt by which requests are kept together. Unit: characters. */
const PROMPT_PREFIX_LENGTH = 1024;

/** Only what routing needs; the engine checks the rest. */
const chatBody = z.looseObject({
  model: z.string(),
  messages: z.array(z.unknown()).min(1),
});

const createDestinationFinder =
  (catalogue: ResolvedConfiguration): FindDestination =>
  (json) => {
    const body = chatBody.safeParse(json);
    if (!body.success) {
      const detail = z.prettifyError(body.error);
      return err(refuse('body-invalid', { detail }));
    }
    const { model, messages } = body.data;
    const service = catalogue.findServiceForModel(model);
    if (service?.protocol !== 'openai') return err(refuse('model-unknown'));
    const prompt = JSON.stringify(messages).slice(0, PROMPT_PREFIX_LENGTH);
    return ok({ service: service.name, model, promptPrefix: hashParts(model, prompt) });
  };

const isModelStillServed: StillServedCheck = (catalogue, { service, model = '' }) =>
  catalogue.findServiceForModel(model)?.name === service;

/**
 * Builds the endpoint.
 *
 * @param follower - configuration
 * @param runner - runs checked requests
 * @returns the endpoint
 */
export const createChatEndpoint = (
  follower: ConfigurationFollower,
  runner: OnlineRunner,
): Endpoint<CallerHandler> => ({
  method: 'POST',
  path: '/v1/chat/completions',
  handle: async (exchange, { key, configuration: catalogue }) => {
    const { maxBodyBytes, timeLimitMs, waitLimitMs } = key.settings;
    const terms = {
      route: ROUTE_NAME,
      repeatable: true,
      maxBodyBytes,
      timeLimitMs,
      waitLimitMs,
      key,
    };
    const read = await readRequest(
      exchange,
      follower,
      terms,
      createDestinationFinder(catalogue),
      isModelStillServed,
    );
    return read.isErr() ? err(read.error) : runner.run(exchange, read.value);
  },
});
