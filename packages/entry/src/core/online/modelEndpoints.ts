/** Endpoints `GET /v1/models` and `GET /v1/models/:id`. */
import { refuse } from '@jacinthlug/catalog/resultCodes';
import type { ResolvedConfiguration } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { err, ok } from 'neverthrow';
import type { CallerHandler, Endpoint } from '../http/Exchange.js';
import { writeJson } from '../http/writeJson.js';

/** A model in the format of the OpenAI API. */
interface Model {
  readonly id: string;
  readonly object: 'model';
  readonly created: number;
  readonly owned_by: string;
}

const getModels = (configuration: ResolvedConfiguration): Model[] =>
  [...configuration.services.values()]
    .filter(({ protocol }) => protocol === 'openai')
    .flatMap(({ name, models }) =>
      models.map((id): Model => ({ id, object: 'model', created: 0, owned_by: name })),
    );

const listModels: CallerHandler = ({ response }, { configuration }) => {
  writeJson(response, 200, { object: 'list', data: getModels(configuration) });
  return Promise.resolve(ok(undefined));
};

const getModel: CallerHandler = ({ request, response }, { configuration }) => {
  const model = getModels(configuration).find(({ id }) => id === request.params.id);
  if (!model) return Promise.resolve(err(refuse('model-unknown')));
  writeJson(response, 200, model);
  return Promise.resolve(ok(undefined));
};

/** Endpoints that list the models of the configuration. */
export const modelEndpoints: readonly Endpoint<CallerHandler>[] = [
  { method: 'GET', path: '/v1/models', handle: listModels },
  { method: 'GET', path: '/v1/models/:id', handle: getModel },
];
