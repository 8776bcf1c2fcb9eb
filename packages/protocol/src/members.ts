/** Members of the fleet as the platform's host list describes them. */
import * as z from 'zod';

/** Schema of a member. */
export const member = z.object({
  /** Name of the host; unique in the fleet. */
  name: z.string(),
  role: z.enum(['entry', 'agent']),
  /** Address of the inner protocol, as `ip:port`. */
  address: z.string(),
  failureDomain: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
  /** Service of the target; agents only. */
  service: z.string().optional(),
  /** Name of the target; agents only. */
  target: z.string().optional(),
});

/** A process of the fleet. */
export type Member = z.infer<typeof member>;
