import {
  ErrorKind,
  Outcome,
  PreparedStatementKind,
  ReadConsistency,
  SapphiregladeError,
  SessionValues,
  TransactionState,
} from '@sapphireglade/decisions';
import * as z from 'zod';
import type {ExecutionRequest} from '../sessions/index.js';
import {readClocks, steadyNowMs} from '../time/index.js';
import type {InstanceReply} from '../upstream/index.js';

/** Kinds of request that an entry proxy sends to an owner. */
export const ForwardedKind = {
  /** One statement outside of a transaction. */
  Statement: 'statement',
  /** A statement of a transaction, the first one included. */
  InTransaction: 'in-transaction',
  /** The end of a transaction of which nothing is kept. */
  RollBack: 'roll-back',
} as const;

const positionSchema = z.object({term: z.number(), position: z.number()});

/** What an owner needs to run a statement; times are spans, clocks differ. */
const executionSchema = z.object({
  requestId: z.string(),
  isRead: z.boolean(),
  awaitsReplica: z.boolean(),
  text: z.string().optional(),
  prepared: z
    .object({kind: z.enum(PreparedStatementKind), shape: z.string()})
    .optional(),
  parameters: z.string(),
  values: z.array(z.tuple([z.string(), z.string()])),
  database: z.string(),
  group: z.string(),
  consistency: z.enum(ReadConsistency),
  maximumStalenessMs: z.number(),
  statementTimeoutMs: z.number(),
  targetLatencyMs: z.number(),
  priority: z.number(),
  /** Since the statement or its transaction began, in milliseconds. */
  ageMs: z.number(),
  /** For which it is still worth running, in milliseconds. */
  remainingMs: z.number(),
  /** For which it may wait for a connection, in milliseconds. */
  queueRemainingMs: z.number(),
  ownCommit: positionSchema.optional(),
  /** What the clocks of the entry proxy showed when it was sent. */
  sentAt: z.object({steadyMs: z.number(), wallMs: z.number()}),
});

/** Checks what an entry proxy asks. */
export const forwardedSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(ForwardedKind.Statement),
    execution: executionSchema,
  }),
  z.object({
    kind: z.literal(ForwardedKind.InTransaction),
    /** Unique on the link. */
    transaction: z.number(),
    /** Whether it begins with this statement. */
    isFirst: z.boolean(),
    isReadOnly: z.boolean(),
    /** Whether the statement is the commit. */
    isCommit: z.boolean(),
    execution: executionSchema,
  }),
  z.object({
    kind: z.literal(ForwardedKind.RollBack),
    transaction: z.number(),
  }),
]);

/** One of the requests. */
export type ForwardedMessage = z.infer<typeof forwardedSchema>;

/** The execution part of a request. */
export type ForwardedExecution = z.infer<typeof executionSchema>;

/** Checks what an owner answers. */
const answerSchema = z.union([
  z.object({
    rows: z.array(z.string()),
    signature: z.string().optional(),
    state: z.enum(TransactionState),
    position: positionSchema.optional(),
    /** Availability zone of the group's primary, if the owner knows it. */
    primaryZone: z.string().optional(),
  }),
  z.object({
    error: z.enum(ErrorKind),
    message: z.string(),
    outcome: z.enum(Outcome),
    retryAfterMs: z.number().optional(),
  }),
]);

/** What an owner answers. */
export type ForwardedResponse = z.infer<typeof answerSchema>;

/** Turns a request into what crosses the link. */
export function encodeExecution(request: ExecutionRequest): ForwardedExecution {
  const {statement, route, values, ownCommit} = request;
  const nowMs = steadyNowMs();
  return {
    requestId: statement.requestId,
    isRead: statement.isRead,
    awaitsReplica: statement.awaitsReplica,
    text: statement.text,
    prepared: statement.prepared,
    parameters: statement.parameters,
    values: [...values.values],
    ...route,
    ageMs: nowMs - request.startedAtMs,
    remainingMs: request.deadlineMs - nowMs,
    queueRemainingMs: request.queueDeadlineMs - nowMs,
    ownCommit,
    sentAt: readClocks(),
  };
}

/**
 * Turns what crossed the link into a request of this process.
 *
 * @param execution - What crossed the link.
 * @param wayMs - How long ago it was sent at most, in milliseconds.
 */
export function decodeExecution(
  execution: ForwardedExecution,
  wayMs: number,
): ExecutionRequest {
  const nowMs = steadyNowMs();
  const sentAtMs = nowMs - wayMs;
  const values = new SessionValues();
  for (const [name, value] of execution.values) values.set(name, value);
  const {requestId, isRead, awaitsReplica, parameters} = execution;
  return {
    statement: {
      requestId,
      isRead,
      awaitsReplica,
      text: execution.text,
      prepared: execution.prepared,
      parameters,
    },
    route: {
      database: execution.database,
      group: execution.group,
      consistency: execution.consistency,
      maximumStalenessMs: execution.maximumStalenessMs,
      statementTimeoutMs: execution.statementTimeoutMs,
      targetLatencyMs: execution.targetLatencyMs,
      priority: execution.priority,
    },
    values,
    // The way over the link makes the beginning seem later, and the read fresher.
    startedAtMs: nowMs - execution.ageMs,
    deadlineMs: sentAtMs + execution.remainingMs,
    queueDeadlineMs: sentAtMs + execution.queueRemainingMs,
    ownCommit: execution.ownCommit,
  };
}

/** Turns an answer into what crosses the link. */
export function encodeReply(
  reply: InstanceReply,
  primaryZone: string | undefined,
): ForwardedResponse {
  const {rows, signature, state, position} = reply;
  return {rows: [...rows], signature, state, position, primaryZone};
}

/** Turns an error into what crosses the link. */
export function encodeError(error: unknown): ForwardedResponse {
  const known =
    error instanceof SapphiregladeError
      ? error
      : new SapphiregladeError(ErrorKind.Internal, String(error));
  const {kind, message, outcome, retryAfterMs} = known;
  return {error: kind, message, outcome, retryAfterMs};
}

/** An answer that crossed the link. */
export interface DecodedAnswer {
  readonly reply: InstanceReply;
  /** Availability zone of the group's primary, if the owner knows it. */
  readonly primaryZone: string | undefined;
}

/**
 * Turns what crossed the link into an answer.
 *
 * @returns The answer or the owner's error; nothing if it is neither.
 */
export function decodeResponse(
  body: unknown,
): DecodedAnswer | SapphiregladeError | undefined {
  const result = answerSchema.safeParse(body);
  if (!result.success) return undefined;
  const answer = result.data;
  if ('error' in answer) {
    const {error, message, outcome, retryAfterMs} = answer;
    const details =
      retryAfterMs === undefined ? {outcome} : {outcome, retryAfterMs};
    return new SapphiregladeError(error, message, details);
  }
  const {rows, signature, state, position, primaryZone} = answer;
  return {
    reply: {
      rows,
      signature,
      refusal: undefined,
      state,
      position,
      report: undefined,
    },
    primaryZone,
  };
}
