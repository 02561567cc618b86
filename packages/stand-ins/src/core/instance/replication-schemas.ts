import {z} from 'zod';
import {logEntrySchema} from './replicated-log.js';

const logPositionSchema = z.object({term: z.int(), position: z.int()});

/**
 * Body of `POST /replicate`, with which a follower pulls entries. It answers
 * when entries are due or the time has passed.
 */
export const replicateRequestSchema = z.object({
  /** The follower. */
  instance: z.string(),
  /** Term in which it follows. */
  term: z.int(),
  /** Last entry that it holds; the primary counts it as confirmed. */
  after: logPositionSchema,
  /** Entries are due when they are this old, in milliseconds. */
  lagMs: z.int().min(0),
  /** Longest wait, in milliseconds. */
  timeoutMs: z.int().min(0),
});

/** Answer to `POST /replicate`. */
export const replicateResponseSchema = z.object({
  entries: z.array(logEntrySchema),
});

/** Body of `POST /history`. */
export const historyRequestSchema = z.object({term: z.int()});

/** Answer to `POST /history`: the shape of the primary's log. */
export const historyResponseSchema = z.object({
  last: logPositionSchema,
  termStarts: z.array(logPositionSchema),
});

/** Body of `POST /replicate`. */
export type ReplicateRequest = z.infer<typeof replicateRequestSchema>;
/** Answer to `POST /replicate`. */
export type ReplicateResponse = z.infer<typeof replicateResponseSchema>;
/** Answer to `POST /history`. */
export type HistoryResponse = z.infer<typeof historyResponseSchema>;
