/**
 * The HTTP interface for operators, on the operator port. Every request has
 * the header `Authorization: Bearer NAME:KEY`.
 *
 * | request | response |
 * | --- | --- |
 * | `GET /v1/resources[?kind=KIND]` | {@link resourceListResponseSchema} |
 * | `GET /v1/resources/KIND/NAME` | {@link resourceResponseSchema} |
 * | `PUT /v1/resources/KIND/NAME[?dryRun=true]` | {@link resourceChangeResponseSchema} |
 * | `DELETE /v1/resources/KIND/NAME[?dryRun=true]` | {@link resourceChangeResponseSchema} |
 * | `GET /v1/watch?afterRevision=N&timeoutMs=N` | {@link resourceWatchResponseSchema} |
 * | `GET /v1/status` | `statusResponseSchema` of `status-schemas.ts` |
 *
 * The body of `PUT` is the resource; its kind and name may be omitted.
 * A change of an existing resource names the version that it replaces in the
 * header `If-Match`; without the header only a new resource is accepted. The
 * header {@link REASON_HEADER} states the reason of the change.
 *
 * Every refusal has a body of {@link operatorErrorResponseSchema}: 400 with `field`,
 * 401, 404, 409 with both versions, 503 with `retryAfterMs`.
 */
import {
  changeRecordSchema,
  ErrorKind,
  Outcome,
  resourceSchema,
  RetryAdvice,
} from '@sapphireglade/decisions';
import * as z from 'zod';
import {zoneConfigurationStatusSchema} from './status-schemas.js';

/** Header with the reason of a change. */
export const REASON_HEADER = 'sapphireglade-reason';

/** Longest reason, in characters. */
export const MAXIMUM_REASON_LENGTH = 500;

/** Longest timeout of a watch, in milliseconds. */
export const MAXIMUM_WATCH_TIMEOUT_MS = 30_000;

const versionSchema = z.int().min(0);
const revisionSchema = z.int().min(0);

/** Schema of one resource with its version. */
export const resourceWithVersionSchema = z.object({
  version: versionSchema,
  resource: resourceSchema,
  /** The last change, if it is recorded. */
  change: changeRecordSchema.optional(),
});

/** Schema of the response to `GET /v1/resources`. */
export const resourceListResponseSchema = z.object({
  revision: revisionSchema,
  resources: z.array(resourceWithVersionSchema),
});

/** Schema of the response to `GET /v1/resources/KIND/NAME`. */
export const resourceResponseSchema = resourceWithVersionSchema.extend({
  /** Revision of the configuration at the responding proxy. */
  revision: revisionSchema,
  status: z.object({
    /** The configuration in force in each availability zone. */
    inForce: z.array(zoneConfigurationStatusSchema),
  }),
});

/** Schema of the response to an accepted `PUT` or `DELETE`. */
export const resourceChangeResponseSchema = z.object({
  /** True if nothing was changed because the request was a dry run. */
  dryRun: z.boolean(),
  /** Revision created by the change, or that a dry run would create now. */
  revision: revisionSchema,
  /** Version before the change; 0 if there was none. */
  previousVersion: versionSchema,
  /** Version after the change; 0 after a deletion. */
  version: versionSchema,
  /** Resource before the change; null if there was none. */
  previous: resourceSchema.nullable(),
  /** Resource after the change, with defaults filled in; null after a deletion. */
  resource: resourceSchema.nullable(),
});

/** Schema of the response to `GET /v1/watch`. */
export const resourceWatchResponseSchema = z.object({
  /** Revision in force at the responding proxy. */
  revision: revisionSchema,
  /** Keys, as `KIND/NAME`, with the version of each; 0 for a deleted one. */
  changes: z.array(z.object({key: z.string(), version: versionSchema})),
  /**
   * False if older changes are no longer available; the client must read the
   * list again.
   */
  isComplete: z.boolean(),
  /** The configuration in force in each availability zone. */
  inForce: z.array(zoneConfigurationStatusSchema),
});

/** Schema of the body of every refusal to an operator. */
export const operatorErrorResponseSchema = z.object({
  error: z.object({
    kind: z.enum(Object.values(ErrorKind)),
    title: z.string(),
    message: z.string(),
    hint: z.string(),
    outcome: z.enum(Object.values(Outcome)),
    retry: z.enum(Object.values(RetryAdvice)),
    /** The field of the input that is invalid. */
    field: z.string().optional(),
    retryAfterMs: z.number().optional(),
    /** On a version conflict: the expected version and the one in force. */
    versions: z
      .object({expected: versionSchema, current: versionSchema})
      .optional(),
  }),
});

/** One resource with its version. */
export type ResourceWithVersion = z.infer<typeof resourceWithVersionSchema>;
/** Response to `GET /v1/resources`. */
export type ResourceListResponse = z.infer<typeof resourceListResponseSchema>;
/** Response to `GET /v1/resources/KIND/NAME`. */
export type ResourceResponse = z.infer<typeof resourceResponseSchema>;
/** Response to an accepted `PUT` or `DELETE`. */
export type ResourceChangeResponse = z.infer<
  typeof resourceChangeResponseSchema
>;
/** Response to `GET /v1/watch`. */
export type ResourceWatchResponse = z.infer<typeof resourceWatchResponseSchema>;
/** Body of every refusal to an operator. */
export type OperatorErrorResponse = z.infer<typeof operatorErrorResponseSchema>;
