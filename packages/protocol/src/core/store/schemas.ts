/**
 * The published HTTP protocol of the platform's key-value service.
 *
 * | request | body | answer |
 * | --- | --- | --- |
 * | `POST /get` | {@link getRequestSchema} | {@link getResponseSchema} |
 * | `POST /compare-and-swap` | {@link compareAndSwapRequestSchema} | {@link compareAndSwapResponseSchema} |
 * | `POST /delete` | {@link deleteRequestSchema} | {@link compareAndSwapResponseSchema} |
 * | `POST /list` | {@link listRequestSchema} | {@link listResponseSchema} |
 * | `POST /watch` | {@link storeWatchRequestSchema} | {@link getResponseSchema} |
 * | `POST /acquire-lease` | {@link leaseRequestSchema} | {@link leaseResponseSchema} |
 * | `POST /release-lease` | {@link leaseRequestSchema} | {@link leaseResponseSchema} |
 *
 * Status 429 says that the rate limit is reached. A value is a string of at
 * most {@link MAXIMUM_VALUE_BYTES}. Every call counts, a waiting watch as one.
 */
import {z} from 'zod';

/** Longest value, in bytes of UTF-8. */
export const MAXIMUM_VALUE_BYTES = 1_048_576;

const keySchema = z.string().min(1).max(512);

/** Body of `POST /get`. */
export const getRequestSchema = z.object({key: keySchema});

/** Answer to `POST /get` and `POST /watch`. Version 0: there is no such key. */
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

/** Answer to a swap or delete: whether it took effect, and what is there. */
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

/** Answer to `POST /list`: the keys with this prefix, sorted. */
export const listResponseSchema = z.object({keys: z.array(z.string())});

/** Body of `POST /watch`: answers when the version is past `afterVersion`. */
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
  /** How long the lease lasts, in milliseconds. */
  durationMs: z.int().min(1),
});

/** Answer to `POST /acquire-lease` and `POST /release-lease`. */
export const leaseResponseSchema = z.object({
  held: z.boolean(),
  /** Who holds the lease now, if anyone. */
  holder: z.string().nullable(),
  /** How long it still lasts, in milliseconds. */
  remainingMs: z.number(),
});

/** Answer to `POST /get` and `POST /watch`. */
export type GetResponse = z.infer<typeof getResponseSchema>;
/** Body of `POST /compare-and-swap`. */
export type CompareAndSwapRequest = z.infer<typeof compareAndSwapRequestSchema>;
/** Answer to a swap or delete. */
export type CompareAndSwapResponse = z.infer<
  typeof compareAndSwapResponseSchema
>;
/** Body of `POST /acquire-lease`. */
export type LeaseRequest = z.infer<typeof leaseRequestSchema>;
/** Answer to `POST /acquire-lease`. */
export type LeaseResponse = z.infer<typeof leaseResponseSchema>;
