/** Schema of the answer to `GET /v1/status` of the operator interface. */
import {instanceStateSchema} from '@sapphireglade/decisions';
import {z} from 'zod';

/** Schema of what is in force in one availability zone. */
export const zoneConfigurationStatusSchema = z.object({
  zone: z.string(),
  /** Lowest revision that a proxy of the zone is known to apply; null if none. */
  revision: z.int().min(0).nullable(),
  /** How many proxies of the zone are expected to apply it. */
  members: z.int().min(0),
  /** Since when a proxy of the zone is silent, in ISO 8601; null if none is. */
  unconfirmedSince: z.string().nullable(),
  /** The proxy that reads the store for the zone, if one is known. */
  delegate: z.string().nullable(),
});

/** Schema of an entry VM. */
export const memberStatusSchema = z.object({
  name: z.string(),
  zone: z.string(),
  region: z.string(),
  address: z.string(),
  /** What the platform's list says. */
  listed: z.enum(['live', 'leaving', 'absent']),
  /** What this proxy sees of it. */
  reachability: z.enum(['self', 'reachable', 'unreachable', 'unknown']),
  /** Identifies its run, where known. */
  boot: z.string().nullable(),
  isStopping: z.boolean(),
});

/** Schema of the right to hold connections to an instance. */
export const shareStatusSchema = z.object({
  /** Name of the entry VM. */
  holder: z.string(),
  /** Identifies the run that holds it. */
  boot: z.string(),
  /** How many connections it may hold. */
  connections: z.int().min(0),
});

/** Schema of one instance of a group. Null: not known to this proxy. */
export const instanceOverviewSchema = z.object({
  name: z.string(),
  zone: z.string(),
  /** What operators declared. */
  state: instanceStateSchema,
  role: z.enum(['primary', 'replica']).nullable(),
  term: z.int().nullable(),
  position: z.int().nullable(),
  /** Entries behind the primary. */
  lagEntries: z.int().nullable(),
  /** Time since it last answered, in milliseconds. */
  answeredAgoMs: z.number().nullable(),
  connections: z.int().nullable(),
  connectionLimit: z.int(),
  shares: z.array(shareStatusSchema),
});

/** Schema of one group. */
export const groupOverviewSchema = z.object({
  name: z.string(),
  /** Name of the primary, null if none is known. */
  primary: z.string().nullable(),
  term: z.int().nullable(),
  instances: z.array(instanceOverviewSchema),
});

/** Schema of the answer to `GET /v1/status`. */
export const statusResponseSchema = z.object({
  /** The proxy that answers. */
  proxy: z.string(),
  boot: z.string(),
  zone: z.string(),
  isReady: z.boolean(),
  isStopping: z.boolean(),
  /** Revision of the configuration at this proxy. */
  revision: z.int().min(0),
  /** Since when the store does not answer, in ISO 8601; null if it does. */
  storeUnavailableSince: z.string().nullable(),
  zones: z.array(zoneConfigurationStatusSchema),
  groups: z.array(groupOverviewSchema),
  members: z.array(memberStatusSchema),
});

/** What is in force in one availability zone. */
export type ZoneConfigurationStatus = z.infer<
  typeof zoneConfigurationStatusSchema
>;
/** An entry VM. */
export type MemberStatus = z.infer<typeof memberStatusSchema>;
/** The right to hold connections to an instance. */
export type ShareStatus = z.infer<typeof shareStatusSchema>;
/** One instance as the operators see it. */
export type InstanceOverview = z.infer<typeof instanceOverviewSchema>;
/** One group as the operators see it. */
export type GroupOverview = z.infer<typeof groupOverviewSchema>;
/** Answer to `GET /v1/status`. */
export type StatusResponse = z.infer<typeof statusResponseSchema>;
