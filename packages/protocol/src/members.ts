/** Members of the fleet, as listed by the platform. */
import * as z from 'zod';

/** Schema of a member. */
export const member = z.object({
  /** Name of the host; unique in the fleet. */
  name: z.string(),
  role: z.enum(['entry', 'agent']),
  /** Address for traffic within the fleet, as `ip:port`. */
  address: z.string(),
  failureDomain: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
  /** Service that the target provides; agents only. */
  service: z.string().optional(),
  /** Name of the target; agents only. */
  target: z.string().optional(),
});

/** A process of the fleet. */
export type Member = z.infer<typeof member>;
