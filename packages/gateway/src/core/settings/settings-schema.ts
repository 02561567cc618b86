import {LogLevel} from '@sapphireglade/runtime';
import * as z from 'zod';

/** An address as HOST:PORT. */
const address = z.string().regex(/^[^:\s]+:\d{1,5}$/, 'must be HOST:PORT');

/**
 * Longest name of a VM or zone, in bytes; the keys of the store that contain it have at
 * most 200 bytes.
 */
const MAXIMUM_NAME_BYTES = 100;

/** A name that becomes part of keys, headers and messages. */
const name = z
  .string()
  .regex(/^[^\p{Cc}\p{Cs}]+$/u, 'must not be empty or hold control characters')
  .refine(text => Buffer.byteLength(text) <= MAXIMUM_NAME_BYTES, {
    error: `must have at most ${MAXIMUM_NAME_BYTES} bytes`,
  });

/** Schema of the settings file of a gateway process. */
export const gatewaySettingsSchema = z.strictObject({
  /** Name of this VM, unique in the deployment. */
  name,
  /** Availability zone of this VM. */
  availabilityZone: name,
  /** Region of each availability zone. */
  regions: z.record(z.string(), z.string()),
  /** Addresses on which this process listens. */
  listen: z.strictObject({
    /** Address for callers. */
    callers: address,
    /** Address for the readiness probes of the balancer. */
    readiness: address,
    /** Address for links from other proxies. */
    peers: address,
    /** Address for metrics; without it, metrics are not served. */
    metrics: address.optional(),
  }),
  /** Resources of the VM for this process; proxies on large VMs own more groups. */
  capacity: z.strictObject({
    /** Fraction of the processor that this process may use. */
    processorShare: z.number().positive(),
    /** Capacity of the processor, in standard cores. */
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
  /** Time within which a new configuration must be in force, in milliseconds. */
  configurationWithinMs: z.number().positive().default(3_000),
  /** Time within which a leaving instance must no longer receive new statements, in milliseconds. */
  leaveWithinMs: z.number().positive().default(7_000),
  /**
   * Time for which an instance whose entry has lapsed is expected to return with
   * its log, in milliseconds. Regions lose connectivity to each other for an hour
   * now and then.
   */
  instanceReturnWithinMs: z.number().positive().default(7_200_000),
  /** Maximum number of concurrent callers; bounds memory and file descriptors. */
  maximumCallers: z.number().int().positive(),
  /** Maximum duration of a stop, in seconds. */
  stopGraceS: z.number().positive(),
  /** Minimum level of logged messages. */
  logLevel: z.enum(LogLevel).default(LogLevel.Information),
});

/** The settings of a gateway process. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
