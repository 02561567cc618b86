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

/** What a request for a change says besides its body. */
export interface ChangeRequest {
  readonly kind: Resource['kind'];
  readonly name: string;
  /** Key of the resource. */
  readonly key: string;
  readonly expectedVersion: number;
  readonly isDryRun: boolean;
  readonly reason: string;
}

/** Reads path, query and headers of a request for a change. */
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

/** Reads kind and name from the path. */
export function readResourcePath(
  request: FastifyRequest,
): z.infer<typeof pathParametersSchema> {
  return parseInput(pathParametersSchema, request.params, 'path');
}

/**
 * Checks the body of a `PUT`; kind and name are taken from the path.
 *
 * @throws SapphiregladeError of kind `invalid-input` with field and reason.
 */
export function readResource(body: unknown, change: ChangeRequest): Resource {
  const {kind, name} = change;
  const isObject =
    typeof body === 'object' && body !== null && !Array.isArray(body);
  if (!isObject)
    throw invalidInputError('body', 'The body must be a JSON object.');
  const given = body as {kind?: unknown; name?: unknown};
  if (given.kind !== undefined && given.kind !== kind) {
    throw invalidInputError('kind', `kind: must be "${kind}", as in the path.`);
  }
  if (given.name !== undefined && given.name !== name) {
    throw invalidInputError('name', `name: must be "${name}", as in the path.`);
  }
  const resource = parseInput(resourceSchema, {...body, kind, name}, '');
  assertUniqueNames(resource);
  return resource;
}

/** Checks a value and names the field that is wrong. */
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

/** Instances of one group must have different names and addresses. */
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

/** Reads the version that a change replaces; 0 without the header. */
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
