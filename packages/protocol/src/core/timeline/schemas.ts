/**
 * The timeline of one process, on its operator port:
 * `GET /v1/timeline?stream=control&after=0&limit=1000&request=ID`.
 */
import {EventStream} from '@sapphireglade/decisions';
import * as z from 'zod';

/** Most events in one page. */
export const MAXIMUM_TIMELINE_PAGE_SIZE = 5_000;
/** Events in a page if the request specifies no limit. */
const DEFAULT_TIMELINE_PAGE_SIZE = 1_000;

/** Schema of the query. */
export const timelineQuerySchema = z.strictObject({
  stream: z.enum(Object.values(EventStream)).default(EventStream.Control),
  /** Only events with a greater sequence number. */
  after: z.coerce.number().int().min(0).default(0),
  /** Most events in the response. */
  limit: z.coerce
    .number()
    .int()
    .min(1)
    .max(MAXIMUM_TIMELINE_PAGE_SIZE)
    .default(DEFAULT_TIMELINE_PAGE_SIZE),
  /** Only events of this request. */
  request: z.string().min(1).max(128).optional(),
});

/** Schema of one event. */
export const timelineEventSchema = z.object({
  process: z.string(),
  boot: z.string(),
  sequence: z.int().min(1),
  at: z.object({wallMs: z.number(), counter: z.int().min(0)}),
  kind: z.string(),
  fields: z.record(
    z.string(),
    z.union([z.string(), z.number(), z.boolean(), z.null()]),
  ),
});

/** Schema of the response: one page of events. */
export const timelinePageSchema = z.object({
  process: z.string(),
  boot: z.string(),
  zone: z.string(),
  stream: z.enum(Object.values(EventStream)),
  /** The events, oldest first. */
  events: z.array(timelineEventSchema),
  /** Value of `after` for the next page. */
  next: z.int().min(0),
  /** Whether more events are available now. */
  more: z.boolean(),
  /** Sequence number of the oldest event still stored; 0 if there is none. */
  oldest: z.int().min(0),
  /** Estimated memory size of the stream, in bytes. */
  bytes: z.int().min(0),
});

/** Query of a timeline request. */
export type TimelineQuery = z.infer<typeof timelineQuerySchema>;
/** One page of the timeline. */
export type TimelinePage = z.infer<typeof timelinePageSchema>;
