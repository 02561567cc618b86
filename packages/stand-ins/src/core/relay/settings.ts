import {portSchema} from '@sapphireglade/decisions';
import {z} from 'zod';

/** Schema of one way into a process: where others reach it, where it listens. */
export const relayRouteSchema = z.strictObject({
  /** IP address at which others reach it. */
  address: z.ipv4(),
  port: portSchema,
  /** IP address at which it listens itself. */
  targetAddress: z.ipv4(),
  targetPort: portSchema,
});

/** Schema of the IP addresses of one place. */
export const relayLocationSchema = z.strictObject({
  /** Name of the availability zone, or of a place of callers. */
  name: z.string(),
  region: z.string(),
  /** IP addresses of the processes there, without the last part. */
  prefixes: z.array(z.string()),
});

/** Schema of the time that a byte takes one way between two places. */
export const relayLatencySchema = z.strictObject({
  between: z.tuple([z.string(), z.string()]),
  /** One-way latency, in milliseconds. */
  oneWayMs: z.number().min(0),
});

/** Schema of what happens to bytes on their way from one place to another. */
export const relayFaultSchema = z.strictObject({
  kind: z.enum(['silent', 'closed']),
  /** Place or IP address from which bytes come; every one if left out. */
  from: z.string().optional(),
  /** Place or IP address to which bytes go; every one if left out. */
  to: z.string().optional(),
});

/** Schema of what tests may change while the relay runs. */
export const relayConditionsSchema = z.strictObject({
  faults: z.array(relayFaultSchema).default([]),
  /** Factor on every latency. */
  latencyFactor: z.number().min(0).default(1),
  /** Random part added to every latency, in milliseconds. */
  jitterMs: z.number().min(0).default(0),
  /** Connections that were open before go silent; new ones work. */
  silenceOpen: z.boolean().default(false),
});

/** Schema of the settings of the relay. */
export const relaySettingsSchema = z.strictObject({
  address: z.ipv4(),
  controlPort: portSchema,
  routes: z.array(relayRouteSchema),
  places: z.array(relayLocationSchema),
  latencies: z.array(relayLatencySchema).default([]),
  /** Bytes a second each way between regions, for all traffic. */
  regionBytesPerSecond: z.int().min(1).optional(),
  /** Seed of the random part of latencies. */
  seed: z.int().default(1),
});

/** One way into a process. */
export type RelayRoute = z.infer<typeof relayRouteSchema>;
/** The IP addresses of one place. */
export type RelayLocation = z.infer<typeof relayLocationSchema>;
/** What happens to bytes on their way. */
export type RelayFault = z.infer<typeof relayFaultSchema>;
/** What tests may change. */
export type RelayConditions = z.infer<typeof relayConditionsSchema>;
/** The settings of the relay. */
export type RelaySettings = z.infer<typeof relaySettingsSchema>;
