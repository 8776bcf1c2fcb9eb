/** Schemas of the responses of `GET /placement` on the metrics port of a host. */
import * as z from 'zod';

const outcome = z.enum(['sent', 'waits', 'refused']);

const targetExplanation = z.looseObject({
  target: z.string(),
  failureDomain: z.string(),
  version: z.string(),
  share: z.number(),
  leftOut: z.string().optional(),
  slots: z.number(),
  online: z.number(),
  batch: z.number(),
  /** Unit: ms. */
  waitMs: z.number().optional(),
  /** Unit: ms. */
  firstMs: z.number().optional(),
});

const serviceExplanation = z.looseObject({
  service: z.string(),
  weight: z.number(),
  outcome,
  code: z.string().optional(),
  admission: z
    .looseObject({
      policy: z.string(),
      ahead: z.number(),
      shareRatio: z.number(),
      /** Unit: ms. */
      predictedWaitMs: z.number().optional(),
    })
    .optional(),
  targets: z.array(targetExplanation),
});

const requestExplanation = z.looseObject({
  kind: z.literal('request'),
  observer: z.string(),
  route: z.string(),
  routeKind: z.string(),
  account: z.string().nullable(),
  configuration: z.number(),
  outcome,
  code: z.string().optional(),
  /** Unit: ms. */
  allowedInMs: z.number().optional(),
  blockedContent: z.string().optional(),
  allowedRegions: z.array(z.string()).optional(),
  waitingTokens: z.object({ used: z.number(), limit: z.number() }).optional(),
  services: z.array(serviceExplanation),
});

const itemExplanation = z.looseObject({
  item: z.string(),
  cause: z.string(),
  target: z.string().optional(),
  /** Unit: ms. */
  runningMs: z.number().optional(),
  /** Unit: ms. */
  waitMs: z.number().optional(),
  events: z.number(),
  failures: z.number(),
});

const jobExplanation = z.looseObject({
  kind: z.literal('job'),
  observer: z.string(),
  job: z.string(),
  account: z.string(),
  route: z.string(),
  state: z.enum(['open', 'finished', 'ended']),
  holder: z
    .looseObject({ host: z.string(), isObserver: z.boolean(), isMember: z.boolean() })
    .nullable(),
  itemCount: z.number(),
  resultCount: z.number(),
  allowedRegions: z.array(z.string()).optional(),
  /** Unit: ms. */
  dueInMs: z.number().optional(),
  items: z.array(itemExplanation).optional(),
  omittedItems: z.number().optional(),
  services: z.array(serviceExplanation),
});

/** Schema of an explanation. */
export const explanation = z.discriminatedUnion('kind', [requestExplanation, jobExplanation]);

/** Explanation of a request or job by one host. */
export type Explanation = z.infer<typeof explanation>;

/** Explanation of a request by one host. */
export type RequestExplanation = z.infer<typeof requestExplanation>;

/** Explanation of a job by one host. */
export type JobExplanation = z.infer<typeof jobExplanation>;

/** Explanation of one service. */
export type ServiceExplanation = z.infer<typeof serviceExplanation>;
