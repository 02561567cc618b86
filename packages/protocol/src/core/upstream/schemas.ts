/**
 * The published HTTP protocol of a database instance. One socket is one
 * connection; requests on it run one at a time, in order.
 *
 * | request | body | response |
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
 * it means that the statement has not run and will not run.
 */
import * as z from 'zod';

/** The reason why an instance refused a request. */
export const RefusalReason = {
  /** The instance has reached its connection limit. */
  TooManyConnections: 'too-many-connections',
  /** The first request on a socket was not `POST /open`. */
  NotOpened: 'not-opened',
  /** The instance is not primary in the term of the request. */
  NotPrimary: 'not-primary',
  /** The instance has granted a higher term. */
  StaleTerm: 'stale-term',
  /** The instance has not reached the required position. */
  BehindPosition: 'behind-position',
  /** The connection has no such transaction. */
  NoTransaction: 'no-transaction',
  /** The statement violates a rule of the database. */
  StatementFailed: 'statement-failed',
  /** The instance is stopping. */
  Stopping: 'stopping',
  /** The request is not valid. */
  Invalid: 'invalid',
} as const;

/** The reason of a refusal. */
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** A value of a parameter or of a column. */
export const sqlValueSchema = z.union([z.string(), z.number(), z.null()]);

/** A row, by column. Unlike a record, it keeps a column of any name. */
export const rowSchema = z.custom<Row>(isRow);

const logPositionSchema = z.object({term: z.int(), position: z.int()});
const termStartSchema = z.object({term: z.int(), position: z.int()});

/** Schema of instances of which a majority confirms the writes of a term. */
const voterSetSchema = z.object({
  term: z.int(),
  instances: z.array(z.string()).readonly(),
  /** Version of the declaration from which it was taken. */
  version: z.int().optional(),
});
const voterSetsSchema = z.array(voterSetSchema).readonly();

/**
 * Voter sets that an instance keeps, as its granted term, over a restart. An
 * instance of an earlier version reports none.
 */
const keptVoterSetsFields = {
  /** The ones of the last request to lead or to follow. */
  voterSets: voterSetsSchema.optional(),
  /** The ones of all terms that it granted since, by term. */
  proposedVoterSets: voterSetsSchema.optional(),
};

/** Body of a refusal. */
export const refusalSchema = z.object({
  reason: z.enum(Object.values(RefusalReason)),
  message: z.string(),
  /** Highest term that the instance has granted or observed. */
  term: z.int(),
});

/** Body of `POST /open`, which takes as long as opening a database connection. */
export const openRequestSchema = z.object({
  /**
   * Name of the client that opens the connection; the instance counts
   * connections by it.
   */
  client: z.string(),
});

/** Response to `POST /open`. */
export const openResponseSchema = z.object({
  /** Identifier of the connection at the instance. */
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
   * Term in which the statement must run; an instance in another term refuses
   * the statement. Omitted for reads from replicas.
   */
  term: z.int().optional(),
  /** The transaction, if any. */
  transaction: z.string().optional(),
  /** A read is refused while the instance is behind this position. */
  minimumPosition: logPositionSchema.optional(),
});

/** Response to a statement, `POST /begin`, `/commit` or `/rollback`. */
export const statementResponseSchema = z.object({
  /** Rows of a read, as objects by column. */
  rows: z.array(rowSchema),
  /** Number of rows read or changed. */
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

/** Schema of the status that an instance reports. */
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
  /** Start positions of the terms in its log, latest last, at most 16. */
  termStarts: z.array(termStartSchema),
  /** On a primary: the last position confirmed by each replica. */
  replicas: z.record(z.string(), logPositionSchema),
  /** Number of open connections. */
  connections: z.int(),
  /** Number of open connections by the client named in `POST /open`. */
  connectionsByClient: z.record(z.string(), z.int()),
  /** Number of running statements. */
  slotsBusy: z.int(),
  /** Number of statements that wait for a slot. */
  slotsWaiting: z.int(),
  /** Whether the instance is about to be stopped. */
  stopping: z.boolean(),
  ...keptVoterSetsFields,
});

/**
 * Body of `POST /watch`: the response is sent once the position is past `after`,
 * the granted term differs from `grantedTerm`, or the timeout expires.
 */
export const instanceWatchRequestSchema = z.object({
  after: logPositionSchema,
  grantedTerm: z.int(),
  /** Longest wait, in milliseconds; 0 for an immediate response. */
  timeoutMs: z.int().min(0).max(10_000),
});

/** Body of `POST /grant`. */
export const grantTermRequestSchema = z.object({
  term: z.int().min(1),
  /** Name of the requesting process. */
  coordinator: z.string(),
  /** Voters of the term; kept with the grant. */
  voters: voterSetSchema.optional(),
});

/**
 * Response to `POST /grant`. After granting a term, an instance refuses every
 * statement and replicated entry of lower terms. A term is granted only once.
 */
export const grantTermResponseSchema = z.object({
  granted: z.boolean(),
  grantedTerm: z.int(),
  position: logPositionSchema,
  termStarts: z.array(termStartSchema),
  ...keptVoterSetsFields,
});

/** Name and address of another instance of the group. */
export const peerInstanceSchema = z.object({
  instance: z.string(),
  address: z.string(),
  port: z.int(),
});

/** Body of `POST /promote`; refused unless this is the last granted term. */
export const promoteRequestSchema = z.object({
  term: z.int().min(1),
  /** The other instances, which become replicas of this one. */
  replicas: z.array(peerInstanceSchema),
  /** Voter sets of the term; they replace those of lower terms. */
  voterSets: voterSetsSchema.optional(),
});

/** Body of `POST /follow`; refused if a higher term was granted. */
export const followRequestSchema = z.object({
  term: z.int().min(1),
  primary: peerInstanceSchema,
  /** Voter sets of the term; they replace those of lower terms. */
  voterSets: voterSetsSchema.optional(),
});

/** Response to `POST /follow`. */
export const followResponseSchema = z.object({
  /** Number of log entries dropped because the new primary does not have them. */
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
/** Response to `POST /open`. */
export type OpenResponse = z.infer<typeof openResponseSchema>;
/** Body of `POST /statement`. */
export type StatementRequest = z.infer<typeof statementRequestSchema>;
/** Response to a statement. */
export type StatementResponse = z.infer<typeof statementResponseSchema>;
/** Body of `POST /begin`. */
export type BeginRequest = z.infer<typeof beginRequestSchema>;
/** Body of `POST /commit` and `POST /rollback`. */
export type FinishRequest = z.infer<typeof finishRequestSchema>;
/** The status that an instance reports. */
export type InstanceStatus = z.infer<typeof instanceStatusSchema>;
/** Body of `POST /watch`. */
export type InstanceWatchRequest = z.infer<typeof instanceWatchRequestSchema>;
/** Body of `POST /grant`. */
export type GrantTermRequest = z.infer<typeof grantTermRequestSchema>;
/** Response to `POST /grant`. */
export type GrantTermResponse = z.infer<typeof grantTermResponseSchema>;
/** Name and address of another instance. */
export type PeerInstance = z.infer<typeof peerInstanceSchema>;
/** Body of `POST /promote`. */
export type PromoteRequest = z.infer<typeof promoteRequestSchema>;
/** Body of `POST /follow`. */
export type FollowRequest = z.infer<typeof followRequestSchema>;
/** Response to `POST /follow`. */
export type FollowResponse = z.infer<typeof followResponseSchema>;

function isRow(value: unknown): value is Row {
  if (typeof value !== 'object' || value === null) return false;
  if (Array.isArray(value)) return false;
  return Object.values(value).every(
    column => sqlValueSchema.safeParse(column).success,
  );
}
