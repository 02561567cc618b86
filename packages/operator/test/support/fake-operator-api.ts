import {randomUUID} from 'node:crypto';
import type {ErrorKind, TimelineEvent} from '@sapphireglade/decisions';
import {ERROR_CATALOGUE, resourceSchema} from '@sapphireglade/decisions';
import type {
  ResourceChangeResponse,
  OperatorErrorResponse,
  ResourceWithVersion,
  StatusResponse,
  TimelinePage,
} from '@sapphireglade/protocol';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import {fastify} from 'fastify';

/** Operator key that the fake accepts. */
export const OPERATOR_KEY = 'a-key-for-tests-only';

/** Change request received by the fake. */
interface ReceivedChange {
  readonly key: string;
  readonly body: unknown;
  readonly expected: number;
  readonly isDryRun: boolean;
}

/** Minimal fake of the operator API with one revision counter. */
export class FakeOperatorApi {
  readonly resources = new Map<string, ResourceWithVersion>();
  readonly reasons: string[] = [];
  events: TimelineEvent[] = [];
  /** Called before each change that is not a dry run. */
  beforeChange: () => void = () => undefined;
  revision = 0;
  /** Revision in force in the second zone; null for that of the first. */
  secondZoneRevision: number | null = null;
  /** Members besides this proxy, by name and address. */
  otherMembers: ReadonlyArray<{name: string; address: string}> = [];
  private readonly app: FastifyInstance = fastify();

  /** @param name - Name of the faked proxy. */
  constructor(readonly name = 'entry-1') {
    this.app.addHook('onRequest', async (request, reply) => {
      if (request.headers.authorization === `Bearer ops:${OPERATOR_KEY}`)
        return;
      await sendError(reply, 'unauthenticated');
    });
    this.addResourceRoutes();
    this.app.get('/v1/status', async () => this.status());
    this.app.get('/v1/timeline', async request => this.page(request));
  }

  /** Opens a port and returns its origin. */
  listen(host = '127.0.0.1', port = 0): Promise<string> {
    return this.app.listen({host, port});
  }

  /** Closes the port. */
  close(): Promise<void> {
    return this.app.close();
  }

  private addResourceRoutes(): void {
    const path = '/v1/resources/:kind/:name';
    this.app.get('/v1/resources', async () => ({
      revision: this.revision,
      resources: [...this.resources.values()],
    }));
    this.app.get(path, async (request, reply) => {
      const entry = this.resources.get(keyOf(request));
      if (entry === undefined) return sendError(reply, 'not-found');
      return {...entry, revision: this.revision, status: {inForce: []}};
    });
    this.app.put(path, async (request, reply) =>
      this.change(request, reply, resourceSchema.parse(request.body)),
    );
    this.app.delete(path, async (request, reply) =>
      this.change(request, reply, null),
    );
  }

  private change(
    request: FastifyRequest,
    reply: FastifyReply,
    body: ResourceWithVersion['resource'] | null,
  ): unknown {
    const isDryRun = (request.query as {dryRun?: string}).dryRun === 'true';
    if (!isDryRun) this.beforeChange();
    const etag = request.headers['if-match'] ?? '"0"';
    const expected = Number(etag.replaceAll('"', ''));
    this.reasons.push(String(request.headers['sapphireglade-reason']));
    return this.applyChange(
      {key: keyOf(request), body, expected, isDryRun},
      reply,
    );
  }

  private applyChange(change: ReceivedChange, reply: FastifyReply): unknown {
    const {key, expected, isDryRun} = change;
    const current = this.resources.get(key);
    const currentVersion = current?.version ?? 0;
    if (expected !== currentVersion) {
      const versions = {expected, current: currentVersion};
      return sendError(reply, 'version-conflict', versions);
    }
    const resource = change.body as ResourceWithVersion['resource'] | null;
    const version = resource === null ? 0 : currentVersion + 1;
    if (!isDryRun) this.store(key, resource, version);
    const answer: ResourceChangeResponse = {
      dryRun: isDryRun,
      revision: isDryRun ? this.revision + 1 : this.revision,
      previousVersion: currentVersion,
      version,
      previous: current?.resource ?? null,
      resource,
    };
    return answer;
  }

  private store(
    key: string,
    resource: ResourceWithVersion['resource'] | null,
    version: number,
  ): void {
    this.revision += 1;
    if (resource === null) this.resources.delete(key);
    else this.resources.set(key, {version, resource});
  }

  private status(): StatusResponse {
    const zoneOf = (zone: string, revision: number) => ({
      zone,
      revision,
      members: 1,
      unconfirmedSince: null,
      delegate: this.name,
    });
    const second = this.secondZoneRevision ?? this.revision;
    return {
      proxy: this.name,
      boot: randomUUID(),
      zone: 'zone-a',
      isReady: true,
      isStopping: false,
      revision: this.revision,
      storeUnavailableSince: null,
      zones: [zoneOf('zone-a', this.revision), zoneOf('zone-b', second)],
      groups: [],
      members: [
        memberOf(this.name, '127.0.0.1'),
        ...this.otherMembers.map(({name, address}) => memberOf(name, address)),
      ],
    };
  }

  private page(request: FastifyRequest): TimelinePage {
    const query = request.query as Record<string, string | undefined>;
    const stream = query['stream'] === 'requests' ? 'requests' : 'control';
    const wanted = query['request'];
    const events = this.events.filter(event => {
      const isRequest = event.kind.startsWith('request-');
      const isWanted =
        wanted === undefined || event.fields['requestId'] === wanted;
      return isRequest === (stream === 'requests') && isWanted;
    });
    return {
      process: this.name,
      boot: 'boot',
      zone: 'zone-a',
      stream,
      events,
      next: events.at(-1)?.sequence ?? 0,
      more: false,
      oldest: events[0]?.sequence ?? 0,
      bytes: 0,
    };
  }
}

function keyOf(request: FastifyRequest): string {
  const {kind, name} = request.params as {kind: string; name: string};
  return `${kind}/${name}`;
}

function memberOf(
  name: string,
  address: string,
): StatusResponse['members'][number] {
  return {
    name,
    zone: 'zone-a',
    region: 'region',
    address,
    listed: 'live',
    reachability: 'reachable',
    boot: null,
    isStopping: false,
  };
}

function sendError(
  reply: FastifyReply,
  kind: ErrorKind,
  versions?: {expected: number; current: number},
): FastifyReply {
  const {title, hint, status, outcome, retry} = ERROR_CATALOGUE[kind];
  const body: OperatorErrorResponse = {
    error: {kind, title, message: 'Refused.', hint, outcome, retry, versions},
  };
  return reply.status(status).send(body);
}
