import type {ConfigurationSnapshot} from '@sapphireglade/decisions';
import {
  buildDeltaSince,
  ErrorKind,
  resourceKey,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import type {
  ResourceChangeResponse,
  ResourceResponse,
  ResourceWithVersion,
  ResourceListResponse,
  ResourceWatchResponse,
} from '@sapphireglade/protocol';
import {MAXIMUM_WATCH_TIMEOUT_MS} from '@sapphireglade/protocol';
import type {FastifyInstance, FastifyRequest} from 'fastify';
import type {Observable} from 'rxjs';
import {filter, firstValueFrom, merge, timer} from 'rxjs';
import {z} from 'zod';
import type {
  LatestConfiguration,
  ControlPlane,
} from '../configuration/index.js';
import type {ProxyContext} from '../context/index.js';
import {
  parseInput,
  readChangeRequest,
  readResource,
  readResourcePath,
} from './change-input.js';
import type {ResourceChanges} from './resource-changes.js';

const listQuerySchema = z.strictObject({
  kind: z.enum(['group', 'caller', 'promotion']).optional(),
});
const watchQuerySchema = z.strictObject({
  afterRevision: z.coerce.number().int().min(0).default(0),
  timeoutMs: z.coerce
    .number()
    .int()
    .min(0)
    .max(MAXIMUM_WATCH_TIMEOUT_MS)
    .default(MAXIMUM_WATCH_TIMEOUT_MS),
});

/** Dependencies of the resource routes. */
export interface ResourceRouteDependencies {
  readonly context: ProxyContext;
  readonly holder: LatestConfiguration;
  readonly control: Pick<ControlPlane, 'inForce' | 'refresh'>;
  readonly changes: ResourceChanges;
  /** Emits once when pending watch requests must complete. */
  readonly stop$: Observable<void>;
  /** Returns the operator name of an authenticated request. */
  readonly operatorOf: (request: FastifyRequest) => string;
}

/** Registers the resource routes on the operator server. */
export function registerResourceRoutes(
  app: FastifyInstance,
  dependencies: ResourceRouteDependencies,
): void {
  const path = '/v1/resources/:kind/:name';
  app.get('/v1/resources', async request => list(dependencies, request));
  app.get(path, async request => read(dependencies, request));
  app.put(path, async request => put(dependencies, request));
  app.delete(path, async request => remove(dependencies, request));
  app.get('/v1/watch', async request => watch(dependencies, request));
}

function list(
  {context}: ResourceRouteDependencies,
  request: FastifyRequest,
): ResourceListResponse {
  const {kind} = parseInput(listQuerySchema, request.query, 'query');
  const {revision, resources} = context.configuration.value;
  const entries = [...resources]
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([, entry]): ResourceWithVersion => entry)
    .filter(({resource}) => kind === undefined || resource.kind === kind);
  return {revision, resources: entries};
}

async function read(
  {context, control}: ResourceRouteDependencies,
  request: FastifyRequest,
): Promise<ResourceResponse> {
  const {kind, name} = readResourcePath(request);
  const inForce = await control.inForce();
  const {revision, resources} = context.configuration.value;
  const entry = resources.get(resourceKey(kind, name));
  if (entry === undefined) {
    throw new SapphiregladeError(
      ErrorKind.NotFound,
      `There is no resource ${kind}/${name}.`,
    );
  }
  return {...entry, revision, status: {inForce}};
}

function put(
  dependencies: ResourceRouteDependencies,
  request: FastifyRequest,
): Promise<ResourceChangeResponse> {
  const change = readChangeRequest(request);
  const resource = readResource(request.body, change);
  return dependencies.changes.apply(
    change,
    resource,
    dependencies.operatorOf(request),
  );
}

function remove(
  dependencies: ResourceRouteDependencies,
  request: FastifyRequest,
): Promise<ResourceChangeResponse> {
  const change = readChangeRequest(request);
  return dependencies.changes.apply(
    change,
    null,
    dependencies.operatorOf(request),
  );
}

/** Waits until the local configuration is newer than a revision. */
async function watch(
  {context, holder, control, stop$}: ResourceRouteDependencies,
  request: FastifyRequest,
): Promise<ResourceWatchResponse> {
  const query = parseInput(watchQuerySchema, request.query, 'query');
  const {afterRevision, timeoutMs} = query;
  const isNewer = ({revision}: ConfigurationSnapshot): boolean =>
    revision > afterRevision;
  const newer$ = context.configuration.pipe(filter(isNewer));
  await firstValueFrom(merge(newer$, timer(timeoutMs), stop$));
  const delta = buildDeltaSince(holder.history, afterRevision);
  const changes = (delta?.changes ?? []).map(({key, entry}) => ({
    key,
    version: entry?.version ?? 0,
  }));
  return {
    revision: holder.revision,
    changes,
    isComplete: delta?.isFull !== true || afterRevision === 0,
    inForce: await control.inForce(),
  };
}
