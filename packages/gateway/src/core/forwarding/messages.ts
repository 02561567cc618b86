import {
  ErrorKind,
  Outcome,
  PreparedStatementKind,
  ReadConsistency,
  SapphiregladeError,
  SessionValues,
  TransactionState,
} from '@sapphireglade/decisions';
import {SEGMENT_BYTES} from '@sapphireglade/protocol';
import * as z from 'zod';
import type {ExecutionRequest} from '../sessions/index.js';
import {readClocks, steadyNowMs} from '../time/index.js';
import type {InstanceReply} from '../upstream/index.js';

/** Kinds of request that an entry proxy forwards to an owner. */
export const ForwardedKind = {
  /** One statement outside a transaction. */
  Statement: 'statement',
  /** A statement of a transaction, including the first one. */
  InTransaction: 'in-transaction',
  /** The rollback of a transaction. */
  RollBack: 'roll-back',
} as const;

const positionSchema = z.object({term: z.number(), position: z.number()});

/** Schema of the data that an owner needs to run a statement. Times are durations, because clocks differ. */
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
  /** Time since the statement or its transaction started, in milliseconds. */
  ageMs: z.number(),
  /** Time until the deadline of the statement, in milliseconds. */
  remainingMs: z.number(),
  /** Time for which it may still wait for a connection, in milliseconds. */
  queueRemainingMs: z.number(),
  ownCommit: positionSchema.optional(),
  /** Clock readings of the entry proxy when the request was sent. */
  sentAt: z.object({steadyMs: z.number(), wallMs: z.number()}),
});

/** Schema of the requests that an entry proxy forwards. */
export const forwardedSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(ForwardedKind.Statement),
    execution: executionSchema,
  }),
  z.object({
    kind: z.literal(ForwardedKind.InTransaction),
    /** Identifier of the transaction, unique on the link. */
    transaction: z.number(),
    /** Whether the transaction begins with this statement. */
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

/** A request that an entry proxy forwards. */
export type ForwardedMessage = z.infer<typeof forwardedSchema>;

/** The statement of a forwarded request, with its route and deadlines. */
export type ForwardedExecution = z.infer<typeof executionSchema>;

/** Schema of the response of an owner. */
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

/** The response of an owner: a reply or an error. */
export type ForwardedResponse = z.infer<typeof answerSchema>;

/** Encodes a request for the link. */
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
 * Decodes a forwarded request.
 *
 * @param execution - The request as received.
 * @param maximumAgeMs - Upper bound of the time since it was sent, in milliseconds.
 * @throws SapphiregladeError of kind `invalid-input` if a session cannot hold the values.
 */
export function decodeExecution(
  execution: ForwardedExecution,
  maximumAgeMs: number,
): ExecutionRequest {
  const nowMs = steadyNowMs();
  const sentAtMs = nowMs - maximumAgeMs;
  const values = new SessionValues();
  for (const [name, value] of execution.values) {
    if (values.set(name, value)) continue;
    throw new SapphiregladeError(
      ErrorKind.InvalidInput,
      'The session holds too many values.',
    );
  }
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
    // Without the transit time the start appears later, which only makes the read fresher.
    startedAtMs: nowMs - execution.ageMs,
    deadlineMs: sentAtMs + execution.remainingMs,
    queueDeadlineMs: sentAtMs + execution.queueRemainingMs,
    ownCommit: execution.ownCommit,
  };
}

/** Returns whether a request may be so long that it was sent in segments. */
export function maySpanSegments(execution: ForwardedExecution): boolean {
  const {text = '', parameters, prepared, values} = execution;
  const texts = [text, parameters, prepared?.shape ?? '', ...values.flat()];
  const characters = texts.reduce((sum, {length}) => sum + length, 0);
  return characters > MAXIMUM_UNSPLIT_CHARACTERS;
}

/** Most characters of a request that fits in one segment with its other fields. */
const MAXIMUM_UNSPLIT_CHARACTERS = SEGMENT_BYTES / 4;

/** Bytes reserved for the fields of a response besides its rows. */
const RESPONSE_FIELDS_BYTES = 4_096;

/** Largest encoding of the length of a row, in bytes. */
const ROW_LENGTH_BYTES = 5;

/**
 * Checks that a link can carry the reply to a statement.
 *
 * @param reply - The reply.
 * @param isRead - Whether the statement changed nothing, or nothing that is kept.
 * @param maximumBytes - Largest message that the link carries, in bytes.
 * @throws SapphiregladeError of kind `run-failed`, or `outcome-unknown` for a write.
 */
export function assertReplyFits(
  {rows, signature}: InstanceReply,
  isRead: boolean,
  maximumBytes: number,
): void {
  let bytes = RESPONSE_FIELDS_BYTES + Buffer.byteLength(signature ?? '');
  for (const row of rows) bytes += ROW_LENGTH_BYTES + Buffer.byteLength(row);
  if (bytes <= maximumBytes) return;
  throw new SapphiregladeError(
    isRead ? ErrorKind.RunFailed : ErrorKind.OutcomeUnknown,
    `The result has ${bytes} bytes; ${maximumBytes} can be sent to the proxy of the caller.`,
  );
}

/** Encodes a reply for the link. */
export function encodeReply(
  reply: InstanceReply,
  primaryZone: string | undefined,
): ForwardedResponse {
  const {rows, signature, state, position} = reply;
  return {rows: [...rows], signature, state, position, primaryZone};
}

/** Encodes an error for the link; an error of unknown kind becomes an internal error. */
export function encodeError(error: unknown): ForwardedResponse {
  const reportedError =
    error instanceof SapphiregladeError
      ? error
      : new SapphiregladeError(ErrorKind.Internal, String(error));
  const {kind, message, outcome, retryAfterMs} = reportedError;
  return {error: kind, message, outcome, retryAfterMs};
}

/** A decoded reply of an owner. */
export interface DecodedResponse {
  readonly reply: InstanceReply;
  /** Availability zone of the group's primary, if the owner knows it. */
  readonly primaryZone: string | undefined;
}

/**
 * Decodes the response of an owner.
 *
 * @returns The reply or the owner's error; undefined if the body is neither.
 */
export function decodeResponse(
  body: unknown,
): DecodedResponse | SapphiregladeError | undefined {
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
