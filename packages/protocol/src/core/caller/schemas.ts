/**
 * The HTTP interface for callers.
 *
 * | request | body |
 * | --- | --- |
 * | `POST /v1/statements` | {@link callerStatementRequestSchema} |
 * | `POST /v1/transactions` | {@link callerBeginRequestSchema} |
 * | `POST /v1/transactions/HANDLE/statements` | {@link callerTransactionStatementRequestSchema} |
 * | `POST /v1/transactions/HANDLE/commit` | {@link callerFinishRequestSchema} |
 * | `POST /v1/transactions/HANDLE/rollback` | {@link callerFinishRequestSchema} |
 *
 * Every response has a body of {@link CallerResponse} and the header
 * {@link SESSION_HEADER}.
 */
import type {ErrorKind, Outcome, RetryAdvice} from '@sapphireglade/decisions';
import {nameSchema} from '@sapphireglade/decisions';
import * as z from 'zod';
import type {Row} from '../upstream/index.js';

/** Header that carries the session token, in requests and responses. */
export const SESSION_HEADER = 'sapphireglade-session';

/** Longest SQL text, in characters. */
const MAXIMUM_SQL_LENGTH = 65_536;
/** Largest number of parameters of a statement. */
const MAXIMUM_PARAMETERS = 1_000;
/** Deadline of a request that specifies none, in milliseconds. */
const DEFAULT_DEADLINE_MS = 5_000;
/** Longest deadline, in milliseconds. */
const MAXIMUM_DEADLINE_MS = 60_000;

/** Largest whole number that a database stores as one, exclusive. */
const INTEGER_LIMIT = 2 ** 63;

const requestIdSchema = z.string().min(1).max(128);
const deadlineSchema = z
  .int()
  .min(1)
  .max(MAXIMUM_DEADLINE_MS)
  .default(DEFAULT_DEADLINE_MS);
/** Text that has the same characters in every encoding. */
const textSchema = z.string().refine(text => !/\p{Surrogate}/u.test(text), {
  message: 'The text holds half of a surrogate pair.',
});
const numberSchema = z.number().refine(isExactNumber, {
  message: 'The whole number would be rounded; send it as text.',
});

const sqlFields = {
  /** SQL text. */
  sql: textSchema.min(1).max(MAXIMUM_SQL_LENGTH),
  /** Values for the placeholders. */
  parameters: z
    .array(z.union([textSchema, numberSchema, z.null()]))
    .max(MAXIMUM_PARAMETERS)
    .default([]),
};

/** Body of `POST /v1/statements`. */
export const callerStatementRequestSchema = z.strictObject({
  group: nameSchema,
  ...sqlFields,
  access: z.enum(['read', 'write']),
  /** The statement may run more than once with the same effect. */
  idempotent: z.boolean().default(false),
  /** Chosen by the caller; identifies the request in logs and in the timeline. */
  requestId: requestIdSchema.optional(),
  /** Maximum staleness of a read, in milliseconds; the group's default if omitted. */
  allowedAgeMs: z.int().min(0).max(86_400_000).optional(),
  /** Time after which the caller no longer needs the response, in milliseconds. */
  deadlineMs: deadlineSchema,
});

/** Body of `POST /v1/transactions`. */
export const callerBeginRequestSchema = z.strictObject({
  group: nameSchema,
  access: z.enum(['read', 'write']).default('write'),
  requestId: requestIdSchema.optional(),
  deadlineMs: deadlineSchema,
});

/** Body of a statement in a transaction. */
export const callerTransactionStatementRequestSchema = z.strictObject({
  ...sqlFields,
  access: z.enum(['read', 'write']),
  requestId: requestIdSchema.optional(),
  deadlineMs: deadlineSchema,
});

/** Body of a commit or rollback. */
export const callerFinishRequestSchema = z.strictObject({
  requestId: requestIdSchema.optional(),
  deadlineMs: deadlineSchema,
});

/** Body of `POST /v1/statements`. */
export type CallerStatementRequest = z.infer<
  typeof callerStatementRequestSchema
>;
/** Body of `POST /v1/transactions`. */
export type CallerBeginRequest = z.infer<typeof callerBeginRequestSchema>;
/** Body of a statement in a transaction. */
export type CallerTransactionStatementRequest = z.infer<
  typeof callerTransactionStatementRequestSchema
>;
/** Body of a commit or rollback. */
export type CallerFinishRequest = z.infer<typeof callerFinishRequestSchema>;

/** The processes and the instance that served a request. */
export interface ServedBy {
  /** Proxy that accepted the request. */
  readonly proxy: string;
  /** Proxy that owns the connection to the instance. */
  readonly owner?: string;
  /** Instance that ran the statement. */
  readonly instance?: string;
  /** Role of that instance. */
  readonly role?: 'primary' | 'replica';
  /** Term of the position. */
  readonly term?: number;
  /** Position of the write, or of the instance for a read. */
  readonly position?: number;
}

/** The error of a response. */
export interface CallerResponseError {
  readonly kind: ErrorKind;
  readonly title: string;
  readonly message: string;
  readonly hint: string;
  readonly retry: RetryAdvice;
  /** The field of the input that is invalid. */
  readonly field?: string;
  /** Delay before a retry, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Body of every response to a caller. */
export interface CallerResponse {
  readonly requestId: string;
  readonly outcome: Outcome;
  readonly rows: readonly Row[];
  readonly rowCount: number;
  /** Handle of the transaction, if one was begun. */
  readonly transaction?: string;
  readonly servedBy: ServedBy;
  readonly error?: CallerResponseError;
}

/** Returns whether a parsed number cannot be a whole number of a database that was rounded. */
function isExactNumber(value: number): boolean {
  if (!Number.isInteger(value) || Number.isSafeInteger(value)) return true;
  return Math.abs(value) > INTEGER_LIMIT;
}
