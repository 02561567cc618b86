/**
 * The published HTTP protocol of a database instance. One socket is one
 * connection; every request on it is answered before the next one begins.
 *
 * | request | body | answer |
 * | --- | --- | --- |
 * | `POST /open` | {@link openRequestSchema} | {@link openResponseSchema} |
 * | `POST /statement` | {@link statementRequestSchema} | {@link statementResponseSchema} |
 * | `POST /begin` | {@link beginRequestSchema} | {@link statementResponseSchema} |
 * | `POST /commit` | {@link finishRequestSchema} | {@link statementResponseSchema} |
 * | `POST /rollback` | {@link finishRequestSchema} | {@link statementResponseSchema} |
 * | `POST /watch` | {@link instanceWatchRequestSchema} | {@link instanceStatusSchema} |
 * | `POST /grant` | {@link grantTermRequestSchema} | {@link grantTermResponseSchema} |
 * | `POST /promote` | {@link promoteRequestSchema} | {@link instanceStatusSchema} |
 * | `POST /follow` | {@link followRequestSchema} | {@link followResponseSchema} |
 *
 * A refusal has a status of 400 or more and a body of {@link refusalSchema};
 * it means that the statement did not run and never will.
 */
import {z} from 'zod';

/** Why an instance refused a request. */
export const RefusalReason = {
  /** The instance has as many connections as its owner allows. */
  TooManyConnections: 'too-many-connections',
  /** The first request on a socket was not `POST /open`. */
  NotOpened: 'not-opened',
  /** The instance is not primary in the term of the request. */
  NotPrimary: 'not-primary',
  /** The instance has granted a higher term. */
  StaleTerm: 'stale-term',
  /** The instance has not reached the required position. */
  BehindPosition: 'behind-position',
  /** There is no such transaction on this connection. */
  NoTransaction: 'no-transaction',
  /** The statement breaks a rule of the database. */
  StatementFailed: 'statement-failed',
  /** The instance is stopping. */
  Stopping: 'stopping',
  /** The request is not valid. */
  Invalid: 'invalid',
} as const;

/** One of the reasons. */
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** A value of a parameter or of a column. */
export const sqlValueSchema = z.union([z.string(), z.number(), z.null()]);

const logPositionSchema = z.object({term: z.int(), position: z.int()});
const termStartSchema = z.object({term: z.int(), position: z.int()});

/** Body of a refusal. */
export const refusalSchema = z.object({
  reason: z.enum(Object.values(RefusalReason)),
  message: z.string(),
  /** Highest term that the instance has granted or seen. */
  term: z.int(),
});

/** Body of `POST /open`, which takes the time that a new connection takes. */
export const openRequestSchema = z.object({
  /** Who opens the connection, for the instance's own count. */
  client: z.string(),
});

/** Answer to `POST /open`. */
export const openResponseSchema = z.object({
  /** Identifies the connection at the instance. */
  connection: z.string(),
});

/** Body of `POST /statement`. */
export const statementRequestSchema = z.object({
  /** SQL text. */
  sql: z.string(),
  /** Values for the placeholders. */
  parameters: z.array(sqlValueSchema),
  /** Writes run at the primary only. */
  access: z.enum(['read', 'write']),
  /**
   * Term in which the statement must run; an instance of another term
   * refuses. Left out for reads of replicas.
   */
  term: z.int().optional(),
  /** The transaction, if any. */
  transaction: z.string().optional(),
  /** A read is refused while the instance is behind this position. */
  minimumPosition: logPositionSchema.optional(),
});

/** Answer to a statement, `POST /begin`, `/commit` or `/rollback`. */
export const statementResponseSchema = z.object({
  /** Rows of a read, as objects by column. */
  rows: z.array(z.record(z.string(), sqlValueSchema)),
  /** How many rows were read or changed. */
  rowCount: z.int(),
  /** Position of the write, or the instance's position for a read. */
  position: logPositionSchema,
  /** Time that the statement waited for a slot, in milliseconds. */
  waitedMs: z.number(),
  /** The transaction that is open on the connection afterwards. */
  transaction: z.string().optional(),
});

/** Body of `POST /begin`. */
export const beginRequestSchema = z.object({
  access: z.enum(['read', 'write']),
  term: z.int().optional(),
});

/** Body of `POST /commit` and `POST /rollback`. */
export const finishRequestSchema = z.object({transaction: z.string()});

/** What an instance tells of itself. */
export const instanceStatusSchema = z.object({
  instance: z.string(),
  group: z.string(),
  role: z.enum(['primary', 'replica']),
  /** Term in which it has the role. */
  term: z.int(),
  /** Highest term that it has granted; never lower than `term`. */
  grantedTerm: z.int(),
  /** Last entry of its log. */
  position: logPositionSchema,
  /** Where the terms of its log began, latest last, at most 16. */
  termStarts: z.array(termStartSchema),
  /** At a primary: the last position that each replica has confirmed. */
  replicas: z.record(z.string(), logPositionSchema),
  /** Connections open now. */
  connections: z.int(),
  /** Connections open now, by the client named in `POST /open`. */
  connectionsByClient: z.record(z.string(), z.int()),
  /** Statements that run now. */
  slotsBusy: z.int(),
  /** Statements that wait for a slot now. */
  slotsWaiting: z.int(),
  /** The owner is about to stop it. */
  stopping: z.boolean(),
});

/**
 * Body of `POST /watch`: answers as soon as the position is past `after`, the
 * granted term differs from `grantedTerm`, or the time has passed.
 */
export const instanceWatchRequestSchema = z.object({
  after: logPositionSchema,
  grantedTerm: z.int(),
  /** Longest wait, in milliseconds; 0 answers at once. */
  timeoutMs: z.int().min(0).max(10_000),
});

/** Body of `POST /grant`. */
export const grantTermRequestSchema = z.object({
  term: z.int().min(1),
  /** Process that asks. */
  coordinator: z.string(),
});

/**
 * Answer to `POST /grant`. A granting instance refuses every statement and
 * replicated entry of lower terms from then on. A term is granted once.
 */
export const grantTermResponseSchema = z.object({
  granted: z.boolean(),
  grantedTerm: z.int(),
  position: logPositionSchema,
  termStarts: z.array(termStartSchema),
});

/** Where to find another instance of the group. */
export const peerInstanceSchema = z.object({
  instance: z.string(),
  address: z.string(),
  port: z.int(),
});

/** Body of `POST /promote`; refused unless this term was granted last. */
export const promoteRequestSchema = z.object({
  term: z.int().min(1),
  /** The other instances, which will follow. */
  replicas: z.array(peerInstanceSchema),
});

/** Body of `POST /follow`; refused if a higher term was granted. */
export const followRequestSchema = z.object({
  term: z.int().min(1),
  primary: peerInstanceSchema,
});

/** Answer to `POST /follow`. */
export const followResponseSchema = z.object({
  /** Entries dropped because the new primary does not have them. */
  droppedEntries: z.int(),
  position: logPositionSchema,
});

/** A value of a parameter or of a column. */
export type SqlValue = z.infer<typeof sqlValueSchema>;
/** A row, by column. */
export type Row = Readonly<Record<string, SqlValue>>;
/** Body of a refusal. */
export type Refusal = z.infer<typeof refusalSchema>;
/** Body of `POST /open`. */
export type OpenRequest = z.infer<typeof openRequestSchema>;
/** Answer to `POST /open`. */
export type OpenResponse = z.infer<typeof openResponseSchema>;
/** Body of `POST /statement`. */
export type StatementRequest = z.infer<typeof statementRequestSchema>;
/** Answer to a statement. */
export type StatementResponse = z.infer<typeof statementResponseSchema>;
/** Body of `POST /begin`. */
export type BeginRequest = z.infer<typeof beginRequestSchema>;
/** Body of `POST /commit` and `POST /rollback`. */
export type FinishRequest = z.infer<typeof finishRequestSchema>;
/** What an instance tells of itself. */
export type InstanceStatus = z.infer<typeof instanceStatusSchema>;
/** Body of `POST /watch`. */
export type InstanceWatchRequest = z.infer<typeof instanceWatchRequestSchema>;
/** Body of `POST /grant`. */
export type GrantTermRequest = z.infer<typeof grantTermRequestSchema>;
/** Answer to `POST /grant`. */
export type GrantTermResponse = z.infer<typeof grantTermResponseSchema>;
/** Where to find another instance. */
export type PeerInstance = z.infer<typeof peerInstanceSchema>;
/** Body of `POST /promote`. */
export type PromoteRequest = z.infer<typeof promoteRequestSchema>;
/** Body of `POST /follow`. */
export type FollowRequest = z.infer<typeof followRequestSchema>;
/** Answer to `POST /follow`. */
export type FollowResponse = z.infer<typeof followResponseSchema>;
