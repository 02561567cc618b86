import * as z from 'zod';
import {groupViewSchema} from './shared-schemas.js';

/** Notifies other proxies of the primary and term of a group. */
export const groupViewNotificationSchema = z.object({
  type: z.literal('group-view'),
  view: groupViewSchema,
});

/**
 * Reports to a coordinator whether the primary is missing as seen from another
 * zone.
 */
export const primaryReportRequestSchema = z.object({
  type: z.literal('primary-report'),
  report: z.object({
    group: z.string(),
    zone: z.string(),
    reporter: z.string(),
    term: z.int().min(0),
    isMissing: z.boolean(),
    reason: z.string(),
  }),
});

/** Request to an owner to hold back new writes and to finish those in progress. */
export const holdWritesRequestSchema = z.object({
  type: z.literal('hold-writes'),
  group: z.string(),
  /** Term of the current primary. */
  term: z.int().min(0),
  /** Longest time for which writes are held back, in milliseconds. */
  holdMs: z.int().min(0),
});

/** Response to {@link holdWritesRequestSchema}, sent once no write is in progress. */
export const holdWritesResponseSchema = z.object({isDrained: z.boolean()});

/** Allows an owner to run writes again. */
export const releaseWritesRequestSchema = z.object({
  type: z.literal('release-writes'),
  group: z.string(),
  term: z.int().min(0),
});

/**
 * Reports to a coordinator whether the primary is missing as seen from another
 * zone.
 */
export type PrimaryReportRequest = z.infer<typeof primaryReportRequestSchema>;
/** Request to an owner to hold back new writes. */
export type HoldWritesRequest = z.infer<typeof holdWritesRequestSchema>;
/** Response to the request to hold back writes. */
export type HoldWritesResponse = z.infer<typeof holdWritesResponseSchema>;
/** Allows an owner to run writes again. */
export type ReleaseWritesRequest = z.infer<typeof releaseWritesRequestSchema>;
/** Any request of a change of primary. */
export type FailoverRequest =
  PrimaryReportRequest | HoldWritesRequest | ReleaseWritesRequest;
/** Notifies other proxies of the primary and term of a group. */
export type GroupViewNotification = z.infer<typeof groupViewNotificationSchema>;
