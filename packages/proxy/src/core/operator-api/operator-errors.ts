import {
  ERROR_CATALOGUE,
  ErrorKind,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import type {OperatorErrorResponse} from '@sapphireglade/protocol';
import type {FastifyReply} from 'fastify';
import {VersionConflictError} from './version-conflict-error.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Lowest HTTP status that reports a server error. */
const FIRST_SERVER_ERROR_STATUS = 500;

/** Sends an error response with the status of {@link ERROR_CATALOGUE}. */
export async function sendOperatorError(
  reply: FastifyReply,
  error: SapphiregladeError,
): Promise<void> {
  const {status, title, hint, retry} = ERROR_CATALOGUE[error.kind];
  const versions =
    error instanceof VersionConflictError
      ? {expected: error.expected, current: error.current}
      : undefined;
  const body: OperatorErrorResponse = {
    error: {
      kind: error.kind,
      title,
      message: error.message,
      hint,
      outcome: error.outcome,
      retry,
      field: error.field,
      retryAfterMs: error.retryAfterMs,
      versions,
    },
  };
  if (error.retryAfterMs !== undefined) {
    const seconds = Math.ceil(error.retryAfterMs / MILLISECONDS_PER_SECOND);
    reply.header('retry-after', seconds);
  }
  await reply.status(status).send(body);
}

/** Converts an error thrown by fastify or a route to a SapphiregladeError. */
export function toOperatorError(error: unknown): SapphiregladeError {
  if (error instanceof SapphiregladeError) return error;
  const {code, statusCode, message} = error as {
    code?: string;
    statusCode?: number;
    message?: string;
  };
  const text = message ?? 'The request failed.';
  if (code === 'FST_ERR_CTP_BODY_TOO_LARGE') {
    return new SapphiregladeError(ErrorKind.BodyTooLarge, text);
  }
  const isInput =
    statusCode !== undefined && statusCode < FIRST_SERVER_ERROR_STATUS;
  const kind = isInput ? ErrorKind.InvalidInput : ErrorKind.Internal;
  return new SapphiregladeError(kind, text, {cause: error});
}
