import {z} from 'zod';
import {logEntrySchema} from './replicated-log.js';

const logPositionSchema = z.object({term: z.int(), position: z.int()});

/**
 * Schema of the body of `POST /replicate`, with which a replica pulls entries.
 * The response is sent when entries are due or the timeout expires.
 */
export const replicateRequestSchema = z.object({
  /** Name of the replica. */
  instance: z.string(),
  /** Term in which the replica follows. */
  term: z.int(),
  /** Last entry of the replica; the primary records it as confirmed. */
  after: logPositionSchema,
  /** Age at which entries are due, in milliseconds. */
  lagMs: z.int().min(0),
  /** Longest time to wait for entries, in milliseconds. */
  timeoutMs: z.int().min(0),
});

/** Schema of the response to `POST /replicate`. */
export const replicateResponseSchema = z.object({
  entries: z.array(logEntrySchema),
});

/** Schema of the body of `POST /history`. */
export const historyRequestSchema = z.object({term: z.int()});

/** Schema of the response to `POST /history`: last position and term starts. */
export const historyResponseSchema = z.object({
  last: logPositionSchema,
  termStarts: z.array(logPositionSchema),
});

/** Body of `POST /replicate`. */
export type ReplicateRequest = z.infer<typeof replicateRequestSchema>;
/** Response to `POST /replicate`. */
export type ReplicateResponse = z.infer<typeof replicateResponseSchema>;
/** Response to `POST /history`. */
export type HistoryResponse = z.infer<typeof historyResponseSchema>;
