import {portSchema} from '@sapphireglade/decisions';
import {vmSchema} from '@sapphireglade/protocol';
import {z} from 'zod';

/** Schema of the settings of the list of VMs. */
export const vmListSettingsSchema = z.strictObject({
  address: z.ipv4(),
  port: portSchema,
  controlPort: portSchema,
  /** Delay until a change of the list is visible, in milliseconds. */
  lagMs: z.int().min(0).default(0),
  /** Initial list. */
  vms: z.array(vmSchema).default([]),
});

/** Settings of the list of VMs. */
export type VmListSettings = z.infer<typeof vmListSettingsSchema>;
