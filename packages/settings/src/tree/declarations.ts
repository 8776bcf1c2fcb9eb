/** Schema of the declaration tree that operators keep in version control. */
import * as z from 'zod';

/** Settings that any node may set and that its descendants inherit. */
export const inheritedSettings = z.strictObject({
  /** Requests a second that an account may send over all hosts. */
  rate: z.number().positive(),
  /** Requests that an account may send at once over all hosts. */
  burst: z.number().min(1),
  /** Share of an account under overload, relative to the others. */
  weight: z.number().positive(),
  /** Largest request body. Unit: bytes. */
  maxBodyBytes: z.int().positive(),
  /** Time that a request may take; becomes a deadline on arrival. Unit: ms. */
  timeLimitMs: z.int().positive(),
  /** Longest wait for a target before a request is refused. Unit: ms. */
  waitLimitMs: z.int().positive(),
  /** Requests that a target of a service holds at once. */
  concurrency: z.int().positive(),
  /** Requests of those that may be batch items. */
  batchConcurrency: z.int().nonnegative(),
  /** Whether targets get no new work. */
  drained: z.boolean(),
});

/** Effective settings of a node. */
export type InheritedSettings = z.infer<typeof inheritedSettings>;

/** Values in force where no node of a path sets one. */
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

/** Path of a node: names joined by `/`; the empty path is the root. */
const nodePath = z
  .string()
  .refine(
    (path) => path === '' || path.split('/').every((name) => nodeName.test(name)),
    'not a path of names (a-z 0-9 . _ -)',
  );

const nodeFields = {
  settings: inheritedSettings.partial().default({}),
};

const root = z.strictObject({ kind: z.literal('root'), ...nodeFields });

/** Collects nodes that share settings. */
const group = z.strictObject({ kind: z.literal('group'), ...nodeFields });

const region = z.strictObject({ kind: z.literal('region'), ...nodeFields });

const failureDomain = z.strictObject({ kind: z.literal('failureDomain'), ...nodeFields });

const service = z.strictObject({
  kind: z.literal('service'),
  ...nodeFields,
  /** `openai`: model engines; `plain`: any HTTP service. */
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
  /** Path at the entry host and at the target. */
  path: z
    .string()
    .regex(/^\/[A-Za-z0-9._~/-]*$/, 'not a path')
    .refine((path) => !/^\/(v1|operator|inner|healthz|readyz)(\/|$)/.test(path), 'a reserved path'),
  /** Name of the service that runs the requests. */
  service: z.string().regex(nodeName),
  /** Whether a request may run twice without harm. */
  repeatable: z.boolean().default(false),
  /** Whether callers need no key. */
  open: z.boolean().default(false),
  /** JSON pointer to the body field that identifies a request, such as `/order/number`. */
  identityField: z.string().startsWith('/').optional(),
});

const account = z.strictObject({
  kind: z.literal('account'),
  ...nodeFields,
});

/** One node of the tree. */
export const declaration = z.discriminatedUnion('kind', [
  root,
  group,
  region,
  failureDomain,
  service,
  route,
  account,
]);

/** One node of the tree. */
export type Declaration = z.infer<typeof declaration>;

/** Name of a kind of node. */
export type DeclarationKind = Declaration['kind'];

/** The whole tree: nodes by path. A node inherits from each node whose path is a prefix of its own. */
export const declarations = z.strictObject({ nodes: z.record(nodePath, declaration) });

/** The whole tree. */
export type Declarations = z.infer<typeof declarations>;
