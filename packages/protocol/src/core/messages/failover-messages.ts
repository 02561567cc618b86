import {z} from 'zod';
import {groupViewSchema} from './shared-schemas.js';

/** Tells other proxies who leads a group. */
export const groupViewNotificationSchema = z.object({
  type: z.literal('group-view'),
  view: groupViewSchema,
});

/** Tells a coordinator whether the primary is missed in another zone. */
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

/** Asks an owner to hold new writes back and to let those in progress end. */
export const holdWritesRequestSchema = z.object({
  type: z.literal('hold-writes'),
  group: z.string(),
  /** Term of the present primary. */
  term: z.int().min(0),
  /** How long writes are held back at most, in milliseconds. */
  holdMs: z.int().min(0),
});

/** Answer to {@link holdWritesRequestSchema}, given when no write is in progress. */
export const holdWritesResponseSchema = z.object({isDrained: z.boolean()});

/** Lets an owner run writes again. */
export const releaseWritesRequestSchema = z.object({
  type: z.literal('release-writes'),
  group: z.string(),
  term: z.int().min(0),
});

/** Tells a coordinator whether the primary is missed in another zone. */
export type PrimaryReportRequest = z.infer<typeof primaryReportRequestSchema>;
/** Asks an owner to hold new writes back. */
export type HoldWritesRequest = z.infer<typeof holdWritesRequestSchema>;
/** Answer to the request to hold writes back. */
export type HoldWritesResponse = z.infer<typeof holdWritesResponseSchema>;
/** Lets an owner run writes again. */
export type ReleaseWritesRequest = z.infer<typeof releaseWritesRequestSchema>;
/** Any request of the change of primary. */
export type FailoverRequest =
  PrimaryReportRequest | HoldWritesRequest | ReleaseWritesRequest;
/** Tells other proxies who leads a group. */
export type GroupViewNotification = z.infer<typeof groupViewNotificationSchema>;
