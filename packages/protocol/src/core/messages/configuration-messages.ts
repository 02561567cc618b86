import {changeRecordSchema, resourceSchema} from '@sapphireglade/decisions';
import {z} from 'zod';
import {clockSchema} from '../frames/index.js';
import {vmSchema} from '../vm-list/index.js';

/** Schema of what a delegate knows of its zone. */
const zoneReportSchema = z.object({
  madeAt: clockSchema,
  zone: z.string(),
  delegate: z.string(),
  revision: z.int().min(0).nullable(),
  members: z.int().min(0),
  unconfirmedForMs: z.number().nullable(),
});

/** Schema of a zone report with its age; clocks of two proxies never meet. */
export const agedZoneReportSchema = z.object({
  report: zoneReportSchema,
  ageMs: z.number().min(0),
});

/**
 * Tells a delegate what this proxy applies, and asks what the delegate knows.
 */
export const configurationReportSchema = z.object({
  type: z.literal('configuration-report'),
  revision: z.int().min(0),
  /** Reports of zones that the sender vouches for. */
  zones: z.array(agedZoneReportSchema).max(100),
  /** Whether the answer should name all zones. */
  wantsZones: z.boolean(),
  /** Digest of the list of VMs that the sender has. */
  listDigest: z.string(),
});

/** Answer to a report. */
export const configurationReportResponseSchema = z.object({
  boot: z.string(),
  revision: z.int().min(0),
  /** False while the proxy has learned nothing from store or peers. */
  isKnown: z.boolean(),
  /** Who holds the lease of the answering proxy's zone, if it knows. */
  leaseHolder: z.string().nullable(),
  zones: z.array(agedZoneReportSchema).max(100),
  /** Digest of the list of VMs that the answering proxy has. */
  listDigest: z.string(),
  /** The list of VMs, where the digests differ. */
  vms: z.array(vmSchema).optional(),
});

/** Asks for what changed since a revision. */
export const configurationPullSchema = z.object({
  type: z.literal('configuration-pull'),
  after: z.int().min(0),
  /** How many changes earlier pages held. */
  cursor: z.int().min(0),
});

/** Schema of one resource in a page. */
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

/** Answer to a pull: a page, or nothing if the asker is not behind. */
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

/** Tells other proxies that there is a newer configuration. */
export const configurationOfferSchema = z.object({
  type: z.literal('configuration-offer'),
  revision: z.int().min(0),
});

/** Tells other proxies that this one stops and takes nothing new. */
export const memberStoppingSchema = z.object({
  type: z.literal('member-stopping'),
});

/** Tells what this proxy applies. */
export type ConfigurationReport = z.infer<typeof configurationReportSchema>;
/** Answer to a report. */
export type ConfigurationReportResponse = z.infer<
  typeof configurationReportResponseSchema
>;
/** A zone report with its age. */
export type AgedZoneReport = z.infer<typeof agedZoneReportSchema>;
/** Asks for what changed since a revision. */
export type ConfigurationPull = z.infer<typeof configurationPullSchema>;
/** Answer to a pull. */
export type ConfigurationPage = z.infer<typeof configurationPageSchema>;
/** Tells other proxies that there is a newer configuration. */
export type ConfigurationOffer = z.infer<typeof configurationOfferSchema>;
