/** Schemas of the responses of an entry host. */
import { configuration } from '@jacinthlug/settings/tree/configuration';
import * as z from 'zod';

/** Response of `GET /operator/v1/configuration`. */
export const configurationResponse = configuration;

/** Response of calls that create a new version of the configuration. */
export const versionResponse = z.object({ version: z.int() });

/** Response of `GET /operator/v1/configuration/history`. */
export const historyResponse = z.object({
  versions: z.array(
    z.object({
      version: z.int(),
      /** Wall-clock time. Unit: ms since 1970. */
      acceptedAt: z.number(),
      author: z.string().nullish(),
      note: z.string().nullish(),
    }),
  ),
});

/** Response of `POST /operator/v1/keys`, the only one that contains the secret. */
export const grantResponse = z.object({
  id: z.string(),
  secret: z.string(),
  account: z.string(),
  version: z.int(),
});

/** Response of `GET /operator/v1/keys`. */
export const keysResponse = z.object({
  keys: z.array(
    z.object({
      id: z.string(),
      account: z.string(),
      state: z.enum(['granted', 'withdrawn']),
      /** Wall-clock time. Unit: ms since 1970. */
      changedAt: z.number(),
    }),
  ),
});

/** Response of `GET /operator/v1/hosts`; `@jacinthlug/protocol/members` defines the fields. */
export const hostsResponse = z.object({
  hosts: z.array(
    z.looseObject({
      name: z.string(),
      role: z.string(),
      address: z.string(),
      failureDomain: z.string(),
      region: z.string(),
      state: z.string(),
      service: z.string().optional(),
      target: z.string().optional(),
    }),
  ),
});

/** Response of `GET /operator/v1/status`; further fields are printed unchanged. */
export const statusResponse = z.looseObject({
  name: z.string(),
  mode: z.string(),
  version: z.int(),
});

/** Response of `POST /v1/files`. */
export const fileResponse = z.looseObject({ id: z.string() });

/** A batch job, as the calls under `/v1/batches` return it. */
export const batchResponse = z.looseObject({
  id: z.string(),
  status: z.string(),
  request_counts: z.looseObject({ total: z.int(), completed: z.int(), failed: z.int() }).nullish(),
  output_file_id: z.string().nullish(),
  error_file_id: z.string().nullish(),
});

/** A batch job. */
export type BatchResponse = z.infer<typeof batchResponse>;
