/** Endpoint `POST /v1/chat/completions`. */
import { refuse } from '@jacinthlug/catalog/resultCodes';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { ResolvedConfiguration } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { err, ok } from 'neverthrow';
import * as z from 'zod';
import type { CallerHandler, Endpoint } from '../http/Exchange.js';
import { hashParts } from './OnlineRequest.js';
import type { OnlineRunner } from './OnlineRunner.js';
import { readRequest, type FindDestination, type StillServedCheck } from './readRequest.js';

/** Route name of the OpenAI-compatible paths. */
const ROUTE_NAME = 'openai';

/** Length of the prompt prefix that determines the affinity of a request. Unit: characters. */
const PROMPT_PREFIX_LENGTH = 1024;

/** Schema of the fields that routing needs. The engine validates the rest. */
const chatBody = z.looseObject({
  model: z.string(),
  messages: z.array(z.unknown()).min(1),
});

const createDestinationFinder =
  (configuration: ResolvedConfiguration): FindDestination =>
  (json) => {
    const body = chatBody.safeParse(json);
    if (!body.success) {
      const detail = z.prettifyError(body.error);
      return err(refuse('body-invalid', { detail }));
    }
    const { model, messages } = body.data;
    const service = configuration.findServiceForModel(model);
    if (service?.protocol !== 'openai') return err(refuse('model-unknown'));
    const prompt = JSON.stringify(messages).slice(0, PROMPT_PREFIX_LENGTH);
    return ok({ service: service.name, model, promptPrefix: hashParts(model, prompt) });
  };

const isModelStillServed: StillServedCheck = (configuration, { service, model = '' }) =>
  configuration.findServiceForModel(model)?.name === service;

/**
 * Creates the endpoint.
 *
 * @param follower - provides the configuration
 * @param runner - runs the requests
 * @returns the endpoint
 */
export const createChatEndpoint = (
  follower: ConfigurationFollower,
  runner: OnlineRunner,
): Endpoint<CallerHandler> => ({
  method: 'POST',
  path: '/v1/chat/completions',
  handle: async (exchange, { key, configuration }) => {
    const { maxBodyBytes, timeLimitMs, waitLimitMs } = key.settings;
    const policy = {
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
      policy,
      createDestinationFinder(configuration),
      isModelStillServed,
    );
    return read.isErr() ? err(read.error) : runner.run(exchange, read.value);
  },
});
