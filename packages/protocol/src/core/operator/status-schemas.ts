/** Schemas of the response to `GET /v1/status` of the operator interface. */
import {instanceStateSchema} from '@sapphireglade/decisions';
import * as z from 'zod';

/** Schema of the configuration in force in one availability zone. */
export const zoneConfigurationStatusSchema = z.object({
  zone: z.string(),
  /** Lowest revision that a proxy of the zone is confirmed to apply; null if none. */
  revision: z.int().min(0).nullable(),
  /** Number of proxies of the zone that are expected to apply it. */
  members: z.int().min(0),
  /**
   * Time since which a proxy of the zone has not reported, in ISO 8601; null if
   * all report.
   */
  unconfirmedSince: z.string().nullable(),
  /** The proxy that reads the store for the zone; null if unknown. */
  delegate: z.string().nullable(),
});

/** Schema of an entry VM. */
export const memberStatusSchema = z.object({
  name: z.string(),
  zone: z.string(),
  region: z.string(),
  address: z.string(),
  /** State on the platform's list of VMs. */
  listed: z.enum(['live', 'leaving', 'absent']),
  /** Reachability as observed by this proxy. */
  reachability: z.enum(['self', 'reachable', 'unreachable', 'unknown']),
  /** Identifies its run; null if unknown. */
  boot: z.string().nullable(),
  isStopping: z.boolean(),
});

/** Schema of the right to hold connections to an instance. */
export const shareStatusSchema = z.object({
  /** Name of the entry VM. */
  holder: z.string(),
  /** Identifies the run that holds it. */
  boot: z.string(),
  /** Number of connections that it may hold. */
  connections: z.int().min(0),
});

/** Schema of one instance of a group. A null field is unknown to this proxy. */
export const instanceOverviewSchema = z.object({
  name: z.string(),
  zone: z.string(),
  /** State declared by the operators. */
  state: instanceStateSchema,
  role: z.enum(['primary', 'replica']).nullable(),
  term: z.int().nullable(),
  position: z.int().nullable(),
  /** Number of log entries by which it is behind the primary. */
  lagEntries: z.int().nullable(),
  /** Time since its last response, in milliseconds. */
  answeredAgoMs: z.number().nullable(),
  connections: z.int().nullable(),
  connectionLimit: z.int(),
  shares: z.array(shareStatusSchema),
});

/** Schema of one group. */
export const groupOverviewSchema = z.object({
  name: z.string(),
  /** Name of the primary; null if none is known. */
  primary: z.string().nullable(),
  term: z.int().nullable(),
  instances: z.array(instanceOverviewSchema),
});

/** Schema of the response to `GET /v1/status`. */
export const statusResponseSchema = z.object({
  /** Name of the responding proxy. */
  proxy: z.string(),
  boot: z.string(),
  zone: z.string(),
  isReady: z.boolean(),
  isStopping: z.boolean(),
  /** Revision of the configuration at this proxy. */
  revision: z.int().min(0),
  /**
   * Time since which the store has been unavailable, in ISO 8601; null if it is
   * available.
   */
  storeUnavailableSince: z.string().nullable(),
  zones: z.array(zoneConfigurationStatusSchema),
  groups: z.array(groupOverviewSchema),
  members: z.array(memberStatusSchema),
});

/** The configuration in force in one availability zone. */
export type ZoneConfigurationStatus = z.infer<
  typeof zoneConfigurationStatusSchema
>;
/** An entry VM. */
export type MemberStatus = z.infer<typeof memberStatusSchema>;
/** The right to hold connections to an instance. */
export type ShareStatus = z.infer<typeof shareStatusSchema>;
/** Status of one instance for operators. */
export type InstanceOverview = z.infer<typeof instanceOverviewSchema>;
/** Status of one group for operators. */
export type GroupOverview = z.infer<typeof groupOverviewSchema>;
/** Response to `GET /v1/status`. */
export type StatusResponse = z.infer<typeof statusResponseSchema>;
