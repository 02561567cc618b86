/**
 * The published HTTP protocol of the platform's lagging list of VMs:
 * the response to `GET /vms` is {@link vmListSchema}.
 */
import * as z from 'zod';

/** Schema of one entry VM on the platform's list. */
export const vmSchema = z.object({
  name: z.string(),
  /** Availability zone. */
  zone: z.string(),
  /** Region of the zone. */
  region: z.string(),
  /** IP address. */
  address: z.string(),
  state: z.enum(['live', 'leaving']),
});

/** The platform's list of VMs, which may be out of date. */
export const vmListSchema = z.object({vms: z.array(vmSchema)});

/** One entry VM. */
export type Vm = z.infer<typeof vmSchema>;
/** The platform's list of VMs. */
export type VmList = z.infer<typeof vmListSchema>;
