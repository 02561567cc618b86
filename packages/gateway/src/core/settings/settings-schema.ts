import {LogLevel} from '@sapphireglade/runtime';
import * as z from 'zod';

/** An address as host and port. */
const address = z.string().regex(/^[^:\s]+:\d{1,5}$/, 'must be HOST:PORT');

/** Schema of the settings file of a gateway process. */
export const gatewaySettingsSchema = z.strictObject({
  /** Name of this VM, unique in the deployment. */
  name: z.string().min(1),
  /** Availability zone of this VM. */
  availabilityZone: z.string().min(1),
  /** Region of each availability zone. */
  regions: z.record(z.string(), z.string()),
  /** Where this process listens. */
  listen: z.strictObject({
    /** For callers. */
    callers: address,
    /** For the balancer's questions. */
    readiness: address,
    /** For links from other proxies. */
    peers: address,
    /** For metrics; they are not served if it is left out. */
    metrics: address.optional(),
  }),
  /** What the VM offers to this process; proxies on large VMs own more groups. */
  capacity: z.strictObject({
    /** Part of the processor that this process may use. */
    processorShare: z.number().positive(),
    /** How many ordinary cores the processor is worth. */
    processorCores: z.number().positive(),
    /** Bandwidth of the network link, in Mbit/s. */
    linkMbps: z.number().positive(),
    /** Memory that the process may use, in MB. */
    memoryMb: z.number().positive(),
  }),
  /** The platform's store. */
  store: z.strictObject({address}),
  /** The platform's service that promotes instances. */
  promotion: z.strictObject({address}),
  /** Within which time a new configuration has to be in force, in milliseconds. */
  configurationWithinMs: z.number().positive().default(3_000),
  /** Most callers at a time; bounds memory and descriptors. */
  maximumCallers: z.number().int().positive(),
  /** How long a stop may take, in seconds. */
  stopGraceS: z.number().positive(),
  /** How much is logged. */
  logLevel: z.enum(LogLevel).default(LogLevel.Information),
});

/** The settings of a gateway process. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
