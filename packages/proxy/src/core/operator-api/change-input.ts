import type {Resource} from '@sapphireglade/decisions';
import {
  ErrorKind,
  nameSchema,
  resourceKey,
  resourceSchema,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import {MAXIMUM_REASON_LENGTH, REASON_HEADER} from '@sapphireglade/protocol';
import {formatValidationIssue} from '@sapphireglade/runtime';
import type {FastifyRequest} from 'fastify';
import {z} from 'zod';

const pathParametersSchema = z.object({
  kind: z.enum(['group', 'caller', 'promotion']),
  name: nameSchema,
});
const querySchema = z.strictObject({
  dryRun: z.enum(['true', 'false']).default('false'),
});

/** Parameters of a change request, without its body. */
export interface ChangeRequest {
  readonly kind: Resource['kind'];
  readonly name: string;
  /** Key of the resource. */
  readonly key: string;
  readonly expectedVersion: number;
  readonly isDryRun: boolean;
  readonly reason: string;
}

/** Reads the path, query and headers of a change request. */
export function readChangeRequest(request: FastifyRequest): ChangeRequest {
  const {kind, name} = readResourcePath(request);
  const {dryRun} = parseInput(querySchema, request.query, 'query');
  return {
    kind,
    name,
    key: resourceKey(kind, name),
    expectedVersion: readExpectedVersion(request),
    isDryRun: dryRun === 'true',
    reason: readReason(request),
  };
}

/** Reads the kind and name of a resource from the path. */
export function readResourcePath(
  request: FastifyRequest,
): z.infer<typeof pathParametersSchema> {
  return parseInput(pathParametersSchema, request.params, 'path');
}

/**
 * Validates the body of a `PUT`; kind and name come from the path.
 *
 * @throws SapphiregladeError of kind `invalid-input` with the invalid field
 *   and the reason.
 */
export function readResource(body: unknown, change: ChangeRequest): Resource {
  const {kind, name} = change;
  const isObject =
    typeof body === 'object' && body !== null && !Array.isArray(body);
  if (!isObject)
    throw invalidInputError('body', 'The body must be a JSON object.');
  const fields = body as {kind?: unknown; name?: unknown};
  if (fields.kind !== undefined && fields.kind !== kind) {
    throw invalidInputError('kind', `kind: must be "${kind}", as in the path.`);
  }
  if (fields.name !== undefined && fields.name !== name) {
    throw invalidInputError('name', `name: must be "${name}", as in the path.`);
  }
  const resource = parseInput(resourceSchema, {...body, kind, name}, '');
  assertUniqueNames(resource);
  return resource;
}

/** Validates a value; the error names the invalid field. */
export function parseInput<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
  prefix: string,
): z.infer<Schema> {
  const result = schema.safeParse(value ?? {}, {reportInput: true});
  if (result.success) return result.data;
  const [issue] = result.error.issues;
  const path = issue?.path.map(String).join('.') ?? '';
  const field = [prefix, path].filter(part => part !== '').join('.');
  const text =
    issue === undefined ? 'It is not valid.' : formatValidationIssue(issue);
  throw invalidInputError(field, text);
}

/** Checks that instances of a group have unique names and addresses. */
function assertUniqueNames(resource: Resource): void {
  if (resource.kind !== 'group') return;
  const seen = new Set<string>();
  resource.instances.forEach(({name, address, port}, index) => {
    for (const [field, value] of [
      ['name', name],
      ['address', `${address}:${port}`],
    ] as const) {
      if (seen.has(value)) {
        const path = `instances.${index}.${field}`;
        throw invalidInputError(path, `${path}: "${value}" is used twice.`);
      }
      seen.add(value);
    }
  });
}

/** Reads the version that a change replaces from `If-Match`; 0 if absent. */
function readExpectedVersion(request: FastifyRequest): number {
  const header = request.headers['if-match'];
  if (header === undefined) return 0;
  const match = /^"?(\d{1,15})"?$/.exec(header);
  if (match?.[1] === undefined) {
    throw invalidInputError(
      'If-Match',
      'If-Match: must be a version, for example "3".',
    );
  }
  return Number(match[1]);
}

function readReason(request: FastifyRequest): string {
  const reason = String(request.headers[REASON_HEADER] ?? '');
  if (reason.length <= MAXIMUM_REASON_LENGTH) return reason;
  throw invalidInputError(
    REASON_HEADER,
    `${REASON_HEADER}: at most ${MAXIMUM_REASON_LENGTH} characters.`,
  );
}

function invalidInputError(field: string, message: string): SapphiregladeError {
  return new SapphiregladeError(ErrorKind.InvalidInput, message, {field});
}
