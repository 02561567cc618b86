import type {
  ResourceChangeResponse,
  ResourceWithVersion,
} from '@sapphireglade/protocol';
import {ErrorKind} from '@sapphireglade/decisions';
import type {FieldChange} from '../output/index.js';
import {diffResources, formatDiff, formatTable} from '../output/index.js';
import {createLocalError} from '../client/index.js';
import type {CommandContext} from './command-context.js';
import {
  printResult,
  readTextFile,
  splitReference,
  createUsageError,
} from './command-context.js';
import {waitUntilApplied} from './watch-command.js';

/** Options of commands that change resources. */
export interface ChangeOptions {
  readonly dryRun?: boolean;
  readonly reason?: string;
  /** Whether to wait until the change is in force in every zone. */
  readonly wait?: boolean;
  /** Longest wait, in seconds. */
  readonly timeout?: number;
}

/** Resource of which only the identity is validated. */
interface ResourceBody {
  readonly kind: string;
  readonly name: string;
}

/** Result of a change of one resource. */
interface AppliedChange {
  readonly resource: string;
  readonly result: 'created' | 'changed' | 'deleted' | 'unchanged';
  readonly dryRun: boolean;
  readonly version: number;
  readonly revision: number;
  readonly changes: readonly FieldChange[];
}

/** `get`: lists resources or shows one of them. */
export async function getResources(
  context: CommandContext,
  reference: string | undefined,
): Promise<void> {
  if (reference?.includes('/')) {
    await showResource(context, reference);
    return;
  }
  const list = await context.client.list(reference);
  printResult(context, list, () => formatResourceList(list.resources));
}

/** `apply`: creates or changes the resources in a file. */
export async function applyFile(
  context: CommandContext,
  path: string,
  options: ChangeOptions,
): Promise<void> {
  const text =
    path === '-' ? await context.console.readInput() : readTextFile(path);
  const applied: AppliedChange[] = [];
  for (const body of parseResources(path, text)) {
    applied.push(await applyResource(context, body, options));
  }
  await reportChanges(context, applied, options);
}

/** `delete`: deletes a resource. */
export async function deleteResource(
  context: CommandContext,
  reference: string,
  options: ChangeOptions,
): Promise<void> {
  const [kind, name] = splitReference(reference, 'KIND/NAME');
  const found = await requireResource(context, kind, name);
  const change = await context.client.remove({
    kind,
    name,
    version: found.version,
    reason: options.reason ?? '',
    dryRun: options.dryRun === true,
  });
  await reportChanges(context, [toAppliedChange(reference, change)], options);
}

/** Creates or changes a resource if it differs from the current version. */
export async function applyResource(
  context: CommandContext,
  body: ResourceBody,
  options: ChangeOptions,
): Promise<AppliedChange> {
  const {kind, name} = body;
  const found = await context.client.find(kind, name);
  const change = {
    kind,
    name,
    version: found?.version ?? 0,
    reason: options.reason ?? '',
    dryRun: true,
  };
  const planned = await context.client.put(change, body);
  const preview = toAppliedChange(`${kind}/${name}`, planned);
  if (options.dryRun === true || preview.result === 'unchanged') return preview;
  const response = await context.client.put({...change, dryRun: false}, body);
  return toAppliedChange(`${kind}/${name}`, response);
}

/** Prints changes and, with `--wait`, waits until they are in force. */
export async function reportChanges(
  context: CommandContext,
  applied: readonly AppliedChange[],
  options: ChangeOptions,
): Promise<void> {
  printResult(context, applied, () => applied.flatMap(formatAppliedChange));
  const isUnchanged = applied.every(change => change.result === 'unchanged');
  if (options.wait !== true || options.dryRun === true || isUnchanged) return;
  const revision = Math.max(...applied.map(change => change.revision));
  await waitUntilApplied(context, revision, options.timeout);
}

/** Reads a resource; throws an error if it does not exist. */
export async function requireResource(
  context: CommandContext,
  kind: string,
  name: string,
): Promise<ResourceWithVersion> {
  const found = await context.client.find(kind, name);
  if (found !== undefined) return found;
  throw createLocalError(ErrorKind.NotFound, `There is no ${kind}/${name}.`);
}

async function showResource(
  context: CommandContext,
  reference: string,
): Promise<void> {
  const [kind, name] = splitReference(reference, 'KIND/NAME');
  const found = await requireResource(context, kind, name);
  printResult(context, found, () => formatResource(found));
}

function formatResource({
  version,
  resource,
  change,
}: ResourceWithVersion): string[] {
  const history =
    change === undefined
      ? []
      : [`Changed by ${change.by} at ${change.at}: ${change.reason || '-'}`];
  return [
    `${resource.kind}/${resource.name}, version ${version}`,
    ...history,
    JSON.stringify(resource, null, 2),
  ];
}

function formatResourceList(
  resources: readonly ResourceWithVersion[],
): string[] {
  return formatTable(
    ['RESOURCE', 'VERSION', 'CHANGED BY', 'AT', 'REASON'],
    resources.map(({resource, version, change}) => [
      `${resource.kind}/${resource.name}`,
      version,
      change?.by,
      change?.at,
      change?.reason,
    ]),
  );
}

function formatAppliedChange(change: AppliedChange): string[] {
  const prefix = change.dryRun ? 'Dry run: ' : '';
  return [
    `${prefix}${change.resource} ${change.result} (version ${change.version}, revision ${change.revision}).`,
    ...formatDiff(change.changes),
  ];
}

function toAppliedChange(
  resource: string,
  response: ResourceChangeResponse,
): AppliedChange {
  const {dryRun, version, revision, previous} = response;
  const changes = diffResources(previous, response.resource);
  return {
    resource,
    result: determineResult(response, changes),
    dryRun,
    version,
    revision,
    changes,
  };
}

function determineResult(
  {previous, resource}: ResourceChangeResponse,
  changes: readonly FieldChange[],
): AppliedChange['result'] {
  if (previous === null) return 'created';
  if (resource === null) return 'deleted';
  return changes.length === 0 ? 'unchanged' : 'changed';
}

/** Parses one resource, a list of resources, or an object with `resources`. */
function parseResources(path: string, text: string): ResourceBody[] {
  const parsed = parseJson(path, text);
  const container = parsed as {resources?: unknown};
  const content = container?.resources ?? parsed;
  const bodies: unknown[] = Array.isArray(content) ? content : [content];
  return bodies.map((body, index) => validateResource(path, body, index));
}

function parseJson(path: string, text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw createUsageError(
      `${path} is not JSON (${(error as Error).message}).`,
      'Write one resource, a list of them, or {"resources": [...]}.',
    );
  }
}

function validateResource(
  path: string,
  body: unknown,
  index: number,
): ResourceBody {
  const {kind, name} = (body ?? {}) as Partial<ResourceBody>;
  if (typeof kind === 'string' && typeof name === 'string') {
    return body as ResourceBody;
  }
  throw createUsageError(
    `Resource ${index + 1} in ${path} has no "kind" and "name".`,
    'Add both; the kinds are group, caller and promotion.',
  );
}
