import type {SessionState} from '@sapphireglade/decisions';
import {
  encodeSessionToken,
  ERROR_CATALOGUE,
  ErrorKind,
  recordSeenPosition,
  Outcome,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import type {
  CallerResponseError,
  CallerResponse,
  ExecutionResponse,
  ServedBy,
} from '@sapphireglade/protocol';
import {SESSION_HEADER} from '@sapphireglade/protocol';
import type {FastifyReply} from 'fastify';

const MILLISECONDS_PER_SECOND = 1_000;
const OK_STATUS = 200;

/** Context of a response to a caller. */
export interface ResponseContext {
  readonly requestId: string;
  readonly group: string;
  readonly proxy: string;
  readonly session: SessionState;
  /** Secrets that authenticate the session token. */
  readonly sessionSecrets: readonly string[];
}

/** Sends the result of an execution, which may be an error. */
export async function sendExecutionResponse(
  reply: FastifyReply,
  context: ResponseContext,
  execution: ExecutionResponse,
  transaction?: string,
): Promise<void> {
  const {result, error} = execution;
  if (result === undefined) {
    const {kind, message, ...details} = error ?? {
      kind: ErrorKind.Internal,
      message: 'The response of the owner has neither a result nor an error.',
    };
    await sendErrorResponse(
      reply,
      context,
      new SapphiregladeError(kind, message, details),
      execution.owner,
    );
    return;
  }
  const session = recordSeenPosition(
    context.session,
    context.group,
    result.position,
  );
  const response: CallerResponse = {
    requestId: context.requestId,
    outcome: Outcome.Done,
    rows: result.rows,
    rowCount: result.rowCount,
    transaction,
    servedBy: {
      proxy: context.proxy,
      owner: execution.owner,
      instance: result.instance,
      role: result.role,
      ...result.position,
    },
  };
  await reply
    .status(OK_STATUS)
    .header(SESSION_HEADER, encodeSessionToken(session, context.sessionSecrets))
    .send(response);
}

/** Sends an error response with the status of {@link ERROR_CATALOGUE}. */
export async function sendErrorResponse(
  reply: FastifyReply,
  context: ResponseContext,
  error: SapphiregladeError,
  owner?: string,
): Promise<void> {
  const {status} = ERROR_CATALOGUE[error.kind];
  const servedBy: ServedBy = {proxy: context.proxy, owner};
  const response: CallerResponse = {
    requestId: context.requestId,
    outcome: error.outcome,
    rows: [],
    rowCount: 0,
    servedBy,
    error: toResponseError(error),
  };
  if (error.retryAfterMs !== undefined) {
    const seconds = Math.ceil(error.retryAfterMs / MILLISECONDS_PER_SECOND);
    reply.header('retry-after', seconds);
  }
  await reply
    .status(status)
    .header(
      SESSION_HEADER,
      encodeSessionToken(context.session, context.sessionSecrets),
    )
    .send(response);
}

function toResponseError(error: SapphiregladeError): CallerResponseError {
  const {title, hint, retry} = ERROR_CATALOGUE[error.kind];
  return {
    kind: error.kind,
    title,
    message: error.message,
    hint,
    retry,
    field: error.field,
    retryAfterMs: error.retryAfterMs,
  };
}
