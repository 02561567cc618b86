import {changeRecordSchema, resourceSchema} from '@sapphireglade/decisions';
import * as z from 'zod';
import {hybridTimestampSchema} from '../frames/index.js';
import {vmSchema} from '../vm-list/index.js';

/** Schema of a delegate's report on its availability zone. */
const zoneReportSchema = z.object({
  madeAt: hybridTimestampSchema,
  zone: z.string(),
  delegate: z.string(),
  revision: z.int().min(0).nullable(),
  members: z.int().min(0),
  unconfirmedForMs: z.number().nullable(),
});

/**
 * Schema of a zone report with its age; an age, because the clocks of two
 * proxies differ.
 */
export const agedZoneReportSchema = z.object({
  report: zoneReportSchema,
  ageMs: z.number().min(0),
});

/**
 * Reports the revision that this proxy applies to a delegate, and requests the
 * delegate's state.
 */
export const configurationReportSchema = z.object({
  type: z.literal('configuration-report'),
  revision: z.int().min(0),
  /** The sender's report on its own zone, if it is the zone's delegate. */
  zones: z.array(agedZoneReportSchema).max(100),
  /** Whether the response should contain the reports of all zones. */
  wantsZones: z.boolean(),
  /** Digest of the sender's list of VMs. */
  listDigest: z.string(),
});

/** Response to {@link configurationReportSchema}. */
export const configurationReportResponseSchema = z.object({
  boot: z.string(),
  revision: z.int().min(0),
  /** False until the proxy has received a configuration from the store or a peer. */
  isKnown: z.boolean(),
  /** Holder of the lease of the responding proxy's zone, if known. */
  leaseHolder: z.string().nullable(),
  zones: z.array(agedZoneReportSchema).max(100),
  /** Digest of the responding proxy's list of VMs. */
  listDigest: z.string(),
  /** The list of VMs, if the digests differ. */
  vms: z.array(vmSchema).optional(),
});

/** Requests the changes since a revision. */
export const configurationPullSchema = z.object({
  type: z.literal('configuration-pull'),
  after: z.int().min(0),
  /** Number of changes in the earlier pages. */
  cursor: z.int().min(0),
});

/** Schema of the change of one resource in a page; null if it was deleted. */
const resourceChangeSchema = z.object({
  key: z.string(),
  entry: z
    .object({
      version: z.int().min(1),
      resource: resourceSchema,
      change: changeRecordSchema.optional(),
    })
    .nullable(),
});

/** Response to a pull: a page, or null if the requester is up to date. */
export const configurationPageSchema = z.object({
  page: z
    .object({
      from: z.int().min(0),
      to: z.int().min(0),
      isFull: z.boolean(),
      changes: z.array(resourceChangeSchema),
      nextCursor: z.int().nullable(),
    })
    .nullable(),
});

/** Notifies other proxies of a newer configuration. */
export const configurationOfferSchema = z.object({
  type: z.literal('configuration-offer'),
  revision: z.int().min(0),
});

/** Notifies other proxies that this one is stopping and accepts no new work. */
export const memberStoppingSchema = z.object({
  type: z.literal('member-stopping'),
});

/** Reports the revision that this proxy applies. */
export type ConfigurationReport = z.infer<typeof configurationReportSchema>;
/** Response to a report. */
export type ConfigurationReportResponse = z.infer<
  typeof configurationReportResponseSchema
>;
/** A zone report with its age. */
export type AgedZoneReport = z.infer<typeof agedZoneReportSchema>;
/** Requests the changes since a revision. */
export type ConfigurationPull = z.infer<typeof configurationPullSchema>;
/** Response to a pull. */
export type ConfigurationPage = z.infer<typeof configurationPageSchema>;
/** Notifies other proxies of a newer configuration. */
export type ConfigurationOffer = z.infer<typeof configurationOfferSchema>;
