import {portSchema} from '@sapphireglade/decisions';
import {z} from 'zod';

/** Schema of a route: the published address and the address it forwards to. */
export const relayRouteSchema = z.strictObject({
  /** IP address on which the relay accepts connections for the process. */
  address: z.ipv4(),
  port: portSchema,
  /** IP address on which the process itself listens. */
  targetAddress: z.ipv4(),
  targetPort: portSchema,
});

/** Schema of a network location and its IP addresses. */
export const relayLocationSchema = z.strictObject({
  /** Name of the availability zone, or of a location of callers. */
  name: z.string(),
  region: z.string(),
  /** First three parts of the IP addresses of the processes there. */
  prefixes: z.array(z.string()),
});

/** Schema of the one-way latency between two locations. */
export const relayLatencySchema = z.strictObject({
  between: z.tuple([z.string(), z.string()]),
  /** One-way latency, in milliseconds. */
  oneWayMs: z.number().min(0),
});

/** Schema of a network fault from one location to another. */
export const relayFaultSchema = z.strictObject({
  kind: z.enum(['silent', 'closed']),
  /** Location or IP address of the sender; every one if left out. */
  from: z.string().optional(),
  /** Location or IP address of the receiver; every one if left out. */
  to: z.string().optional(),
});

/** Schema of the network conditions that tests change at run time. */
export const relayConditionsSchema = z.strictObject({
  faults: z.array(relayFaultSchema).default([]),
  /** Factor on every latency. */
  latencyFactor: z.number().min(0).default(1),
  /** Largest random delay added to every latency, in milliseconds. */
  jitterMs: z.number().min(0).default(0),
  /** Whether connections that are open now go silent; new ones work. */
  silenceOpen: z.boolean().default(false),
});

/** Schema of the settings of the relay. */
export const relaySettingsSchema = z.strictObject({
  address: z.ipv4(),
  controlPort: portSchema,
  routes: z.array(relayRouteSchema),
  places: z.array(relayLocationSchema),
  latencies: z.array(relayLatencySchema).default([]),
  /** Bandwidth between two regions, in bytes per second and direction. */
  regionBytesPerSecond: z.int().min(1).optional(),
  /** Seed of the random delays. */
  seed: z.int().default(1),
});

/** Route of the relay. */
export type RelayRoute = z.infer<typeof relayRouteSchema>;
/** Network location and its IP addresses. */
export type RelayLocation = z.infer<typeof relayLocationSchema>;
/** Network fault. */
export type RelayFault = z.infer<typeof relayFaultSchema>;
/** Network conditions that tests change at run time. */
export type RelayConditions = z.infer<typeof relayConditionsSchema>;
/** Settings of the relay. */
export type RelaySettings = z.infer<typeof relaySettingsSchema>;
