/**
 * The published HTTP protocol of the platform's key-value service.
 *
 * | request | body | response |
 * | --- | --- | --- |
 * | `POST /get` | {@link getRequestSchema} | {@link getResponseSchema} |
 * | `POST /compare-and-swap` | {@link compareAndSwapRequestSchema} | {@link compareAndSwapResponseSchema} |
 * | `POST /delete` | {@link deleteRequestSchema} | {@link compareAndSwapResponseSchema} |
 * | `POST /list` | {@link listRequestSchema} | {@link listResponseSchema} |
 * | `POST /watch` | {@link storeWatchRequestSchema} | {@link getResponseSchema} |
 * | `POST /acquire-lease` | {@link leaseRequestSchema} | {@link leaseResponseSchema} |
 * | `POST /release-lease` | {@link leaseRequestSchema} | {@link leaseResponseSchema} |
 *
 * Status 429 means that the rate limit is exceeded. A value is a string of at
 * most {@link MAXIMUM_VALUE_BYTES}. Every request counts towards the rate limit; a
 * waiting watch counts as one.
 */
import * as z from 'zod';

/** Longest value, in bytes of UTF-8. */
export const MAXIMUM_VALUE_BYTES = 1_048_576;

const keySchema = z.string().min(1).max(512);

/** Body of `POST /get`. */
export const getRequestSchema = z.object({key: keySchema});

/** Response to `POST /get` and `POST /watch`. Version 0: the key does not exist. */
export const getResponseSchema = z.object({
  version: z.int(),
  value: z.string().nullable(),
});

/** Body of `POST /compare-and-swap`. Version 0: the key must not exist. */
export const compareAndSwapRequestSchema = z.object({
  key: keySchema,
  expectedVersion: z.int().min(0),
  value: z.string(),
});

/** Response to a swap or delete: whether it took effect, and the current item. */
export const compareAndSwapResponseSchema = z.object({
  swapped: z.boolean(),
  version: z.int(),
  value: z.string().nullable(),
});

/** Body of `POST /delete`. */
export const deleteRequestSchema = z.object({
  key: keySchema,
  expectedVersion: z.int().min(1),
});

/** Body of `POST /list`. */
export const listRequestSchema = z.object({prefix: keySchema});

/** Response to `POST /list`: the keys with this prefix, sorted. */
export const listResponseSchema = z.object({keys: z.array(z.string())});

/**
 * Body of `POST /watch`: the response is sent once the version exceeds
 * `afterVersion`.
 */
export const storeWatchRequestSchema = z.object({
  key: keySchema,
  afterVersion: z.int().min(0),
  /** Longest wait, in milliseconds. */
  timeoutMs: z.int().min(0).max(60_000),
});

/** Body of `POST /acquire-lease` and `POST /release-lease`. */
export const leaseRequestSchema = z.object({
  key: keySchema,
  holder: z.string(),
  /** Duration of the lease, in milliseconds. */
  durationMs: z.int().min(1),
});

/** Response to `POST /acquire-lease` and `POST /release-lease`. */
export const leaseResponseSchema = z.object({
  held: z.boolean(),
  /** Current holder of the lease; null if none. */
  holder: z.string().nullable(),
  /** Remaining time of the lease, in milliseconds. */
  remainingMs: z.number(),
});

/** Response to `POST /get` and `POST /watch`. */
export type GetResponse = z.infer<typeof getResponseSchema>;
/** Body of `POST /compare-and-swap`. */
export type CompareAndSwapRequest = z.infer<typeof compareAndSwapRequestSchema>;
/** Response to a swap or delete. */
export type CompareAndSwapResponse = z.infer<
  typeof compareAndSwapResponseSchema
>;
/** Body of `POST /acquire-lease`. */
export type LeaseRequest = z.infer<typeof leaseRequestSchema>;
/** Response to `POST /acquire-lease`. */
export type LeaseResponse = z.infer<typeof leaseResponseSchema>;
