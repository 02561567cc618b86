import {randomUUID} from 'node:crypto';
import type {CallerResource, SessionState} from '@sapphireglade/decisions';
import {
  decodeSessionToken,
  EMPTY_SESSION,
  ErrorKind,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import {SESSION_HEADER} from '@sapphireglade/protocol';
import {formatValidationIssue} from '@sapphireglade/runtime';
import type {FastifyRequest} from 'fastify';
import type {z} from 'zod';

/**
 * Validates a request body against a schema.
 *
 * @throws SapphiregladeError of kind `invalid-input` with the invalid field
 *   and the reason.
 */
export function parseBody<Schema extends z.ZodType>(
  schema: Schema,
  body: unknown,
): z.infer<Schema> {
  const result = schema.safeParse(body ?? {}, {reportInput: true});
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  throw new SapphiregladeError(
    ErrorKind.InvalidInput,
    issue === undefined
      ? 'The body is not valid.'
      : formatValidationIssue(issue),
    {field: issue?.path.map(String).join('.')},
  );
}

/** Decodes the session token of a request; empty if there is none. */
export function readSession(
  request: FastifyRequest,
  secrets: readonly string[],
): SessionState {
  const token = request.headers[SESSION_HEADER];
  if (token === undefined || token === '') return EMPTY_SESSION;
  return decodeSessionToken(String(token), secrets);
}

/** Returns the request identifier of a body, or a new one. */
export function resolveRequestId(body: unknown): string {
  const requestId = (body as {requestId?: unknown} | null)?.requestId;
  return typeof requestId === 'string' ? requestId : randomUUID();
}

/**
 * Checks that a caller has the requested access to a group.
 *
 * @throws SapphiregladeError of kind `forbidden` otherwise.
 */
export function assertGranted(
  caller: CallerResource,
  group: string,
  access: 'read' | 'write',
): void {
  const grant = caller.grants.find(entry => entry.group === group);
  const isGranted =
    grant !== undefined && (access === 'read' || grant.access === 'write');
  if (isGranted) return;
  throw new SapphiregladeError(
    ErrorKind.Forbidden,
    `The caller ${caller.name} has no ${access} access to ${group}.`,
    {field: 'group'},
  );
}
