import {nameSchema, portSchema} from '@sapphireglade/decisions';
import {LogFormat, LogLevel} from '@sapphireglade/runtime';
import {z} from 'zod';

/** Schema of the settings file, with the defaults of optional fields. */
export const proxySettingsSchema = z.strictObject({
  /** Name of this entry VM, as the platform lists it. */
  vm: nameSchema,
  /** Availability zone of this VM. */
  zone: nameSchema,
  /** Region of the zone. */
  region: nameSchema,
  /** IP address on which every port is opened. */
  address: z.ipv4(),
  /** Port for callers. */
  callerPort: portSchema.default(8080),
  /** Port for operators. */
  operatorPort: portSchema.default(8081),
  /** Port for other proxies, the same on every VM. */
  peerPort: portSchema.default(8082),
  /** The platform's services. */
  platform: z.strictObject({
    /** Origin of the key-value service. */
    storeUrl: z.url(),
    /** Origin of the list of VMs. */
    vmListUrl: z.url(),
  }),
  /** Operators by name, with salted hashes of their keys. */
  operators: z
    .array(
      z.strictObject({
        name: nameSchema,
        /** Hexadecimal scrypt hash of the key. */
        keyHash: z.string().regex(/^[0-9a-f]{64}$/),
        /** Hexadecimal salt of the hash. */
        keySalt: z.string().regex(/^[0-9a-f]{32}$/),
      }),
    )
    .default([]),
  /**
   * Secrets that authenticate session tokens, the same on every VM. The first
   * signs new tokens. The others are still accepted, so that secrets can be
   * rotated.
   */
  sessionSecrets: z.array(z.string().min(32).max(256)).min(1).max(4),
  /** Level and format of logs. */
  logging: z
    .strictObject({
      level: z.enum(Object.values(LogLevel)).default(LogLevel.Information),
      format: z.enum(Object.values(LogFormat)).default(LogFormat.Text),
    })
    .prefault({}),
  /** Time for work in progress to end at a planned stop, in milliseconds. */
  shutdownDeadlineMs: z.int().min(0).max(600_000).default(10_000),
});

/** Validated settings of the proxy. */
export type ProxySettings = z.infer<typeof proxySettingsSchema>;
