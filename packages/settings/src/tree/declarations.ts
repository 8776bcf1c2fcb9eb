/** Schema of the declaration tree that operators keep in version control. */
import * as z from 'zod';

/** Settings that any node may set and its descendants inherit. */
export const inheritedSettings = z.strictObject({
  /** Rate limit of an account over all hosts. Unit: requests a second. */
  rate: z.number().positive(),
  /** Maximum burst of an account over all hosts. Unit: requests. */
  burst: z.number().min(1),
  /** Share of an account under overload, relative to other accounts. */
  weight: z.number().positive(),
  /** Maximum size of a request body. Unit: bytes. */
  maxBodyBytes: z.int().positive(),
  /** Timeout of a request, converted to a deadline on arrival. Unit: ms. */
  timeLimitMs: z.int().positive(),
  /** Maximum wait for a target before the request is refused. Unit: ms. */
  waitLimitMs: z.int().positive(),
  /** Maximum concurrent requests on a target of a service. */
  concurrency: z.int().positive(),
  /** Maximum concurrent batch items on a target of a service; they count towards `concurrency` too. */
  batchConcurrency: z.int().nonnegative(),
  /** Whether targets are draining: they get no new work. */
  drained: z.boolean(),
});

/** Effective settings of a node. */
export type InheritedSettings = z.infer<typeof inheritedSettings>;

/** Values that apply where no node on the path sets one. */
export const defaultSettings: InheritedSettings = {
  rate: 10,
  burst: 20,
  weight: 1,
  maxBodyBytes: 1_048_576,
  timeLimitMs: 60_000,
  waitLimitMs: 1_200,
  concurrency: 16,
  batchConcurrency: 12,
  drained: false,
};

const nodeName = /^[a-z0-9][a-z0-9._-]{0,62}$/;

/** Path of a node: names joined by `/`; empty for the root. */
const nodePath = z
  .string()
  .refine(
    (path) => path === '' || path.split('/').every((name) => nodeName.test(name)),
    'must be names of a-z, 0-9, ".", "_" and "-" joined by "/"',
  );

const nodeFields = {
  settings: inheritedSettings.partial().default({}),
};

const root = z.strictObject({ kind: z.literal('root'), ...nodeFields });

/** Groups nodes that share settings. */
const group = z.strictObject({ kind: z.literal('group'), ...nodeFields });

const region = z.strictObject({ kind: z.literal('region'), ...nodeFields });

const failureDomain = z.strictObject({ kind: z.literal('failureDomain'), ...nodeFields });

const service = z.strictObject({
  kind: z.literal('service'),
  ...nodeFields,
  /** `openai` for model engines, `plain` for any other HTTP service. */
  protocol: z.enum(['openai', 'plain']),
  /** Models that the engines of the service serve. */
  models: z.array(z.string().min(1)).default([]),
});

const route = z.strictObject({
  kind: z.literal('route'),
  ...nodeFields,
  methods: z
    .array(z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']))
    .min(1)
    .default(['POST']),
  /** Request path, the same on the entry host and on the target. */
  path: z
    .string()
    .regex(/^\/[A-Za-z0-9._~/-]*$/, 'must be a path')
    .refine(
      (path) => !/^\/(v1|operator|inner|healthz|readyz)(\/|$)/.test(path),
      'the path is reserved',
    ),
  /** Name of the service that runs the requests. */
  service: z.string().regex(nodeName),
  /** Whether a request may safely run twice. */
  repeatable: z.boolean().default(false),
  /** Whether the route accepts requests without a key. */
  open: z.boolean().default(false),
  /** JSON pointer to the body field that identifies a request, such as `/order/number`. */
  identityField: z.string().startsWith('/').optional(),
});

const account = z.strictObject({
  kind: z.literal('account'),
  ...nodeFields,
});

/** Schema of a node of the tree. */
export const declaration = z.discriminatedUnion('kind', [
  root,
  group,
  region,
  failureDomain,
  service,
  route,
  account,
]);

/** Node of the tree. */
export type Declaration = z.infer<typeof declaration>;

/** Kind of a node. */
export type DeclarationKind = Declaration['kind'];

/** Schema of the tree: nodes by path. A node inherits from each node whose path is a prefix of its own. */
export const declarations = z.strictObject({ nodes: z.record(nodePath, declaration) });

/** Declaration tree. */
export type Declarations = z.infer<typeof declarations>;
