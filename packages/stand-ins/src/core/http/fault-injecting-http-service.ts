import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import fastify from 'fastify';
import {z} from 'zod';
import type {Fault} from './fault-table.js';
import {FaultKind, FaultTable, faultTableSchema} from './fault-table.js';
import type {ListenAddress, Route} from './types.js';
import {HttpResponseError, createPostRoute} from './types.js';

/** Largest accepted request body, in bytes. */
const BODY_LIMIT_BYTES = 4_194_304;

/** Addresses and routes of a {@link FaultInjectingHttpService}. */
export interface HttpServiceOptions extends ListenAddress {
  /** Routes of the published interface. */
  readonly routes: readonly Route[];
  /** Routes for tests, on the control port. */
  readonly controlRoutes?: readonly Route[];
  /** Idle time before a connection is closed, in milliseconds; 0 for never. */
  readonly idleTimeoutMs?: number;
}

/**
 * HTTP server that serves a published interface on one port. On a second port,
 * tests read and set its fault table: `GET /faults` and `PUT /faults`.
 */
export class FaultInjectingHttpService {
  private readonly faults = new FaultTable();
  private readonly control: FastifyInstance;
  private readonly sockets = new Set<Socket>();
  private server: FastifyInstance | undefined;

  /** @param options - Addresses and routes. */
  constructor(private readonly options: HttpServiceOptions) {
    this.control = createServer();
    const faultRoutes = this.createFaultRoutes();
    for (const route of [...faultRoutes, ...(options.controlRoutes ?? [])]) {
      this.addControlRoute(route);
    }
  }

  /** Starts listening on both ports. */
  async start(): Promise<void> {
    const {address, controlPort} = this.options;
    await this.control.listen({host: address, port: controlPort});
    await this.startServing();
  }

  /** Closes both ports and every socket. */
  async stop(): Promise<void> {
    await this.stopServing();
    await this.control.close();
  }

  /** Opens the published port unless it is already open. */
  async startServing(): Promise<void> {
    if (this.server !== undefined) return;
    const server = createServer(this.options.idleTimeoutMs);
    this.server = server;
    server.server.on('connection', socket => this.trackSocket(socket));
    for (const route of this.options.routes) this.addRoute(server, route);
    const {address, port} = this.options;
    await server.listen({host: address, port});
  }

  /** Closes the published port and resets its connections. */
  async stopServing(): Promise<void> {
    const server = this.server;
    this.server = undefined;
    if (server === undefined) return;
    const closing = server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    await closing;
  }

  private trackSocket(socket: Socket): void {
    socket.setNoDelay(true);
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
  }

  private addRoute(server: FastifyInstance, route: Route): void {
    server.route({
      method: route.method,
      url: route.path,
      handler: (request, reply) => this.handleWithFaults(route, request, reply),
    });
  }

  private addControlRoute(route: Route): void {
    this.control.route({
      method: route.method,
      url: route.path,
      handler: (request, reply) => runHandler(route, request, reply),
    });
  }

  /** Handles a request and applies the faults that match it. */
  private async handleWithFaults(
    route: Route,
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<unknown> {
    const matched = this.faults.consumeMatching(
      route.path,
      request.ip,
      keyOf(request.body),
    );
    const delay = findFault(matched, FaultKind.Delay);
    if (delay !== undefined) await sleep(delay.delayMs);
    if (findFault(matched, FaultKind.IgnoreRequest)) return reply.hijack();
    if (findFault(matched, FaultKind.Refuse)) return sendRefusal(reply);
    const body = await runHandler(route, request, reply);
    if (findFault(matched, FaultKind.WithholdResponse)) return reply.hijack();
    if (findFault(matched, FaultKind.DropResponse)) {
      request.raw.socket.destroy();
      return reply.hijack();
    }
    return body;
  }

  private createFaultRoutes(): Route[] {
    return [
      {
        method: 'GET',
        path: '/faults',
        handle: () => ({
          down: this.server === undefined,
          faults: this.faults.list(),
        }),
      },
      {
        ...createPostRoute('/faults', faultTableSchema, async table => {
          this.faults.replace(table.faults);
          await (table.down ? this.stopServing() : this.startServing());
          return {};
        }),
        method: 'PUT',
      },
    ];
  }
}

function createServer(idleTimeoutMs = 0): FastifyInstance {
  return fastify({
    bodyLimit: BODY_LIMIT_BYTES,
    keepAliveTimeout: idleTimeoutMs,
    forceCloseConnections: true,
  });
}

/** Returns the key in the body of a request; undefined if it has none. */
function keyOf(body: unknown): string | undefined {
  const {key} = (body ?? {}) as {readonly key?: unknown};
  return typeof key === 'string' ? key : undefined;
}

function findFault(
  faults: readonly Fault[],
  kind: FaultKind,
): Fault | undefined {
  return faults.find(fault => fault.kind === kind);
}

function sendRefusal(reply: FastifyReply): unknown {
  reply.status(503);
  return {reason: 'stopping', message: 'The request was refused.', term: 0};
}

/** Runs the handler of a route and converts its errors to HTTP responses. */
async function runHandler(
  route: Route,
  request: FastifyRequest,
  reply: FastifyReply,
): Promise<unknown> {
  const origin = {socket: request.raw.socket, clientAddress: request.ip};
  try {
    return await route.handle(request.body ?? {}, origin);
  } catch (error) {
    if (error instanceof HttpResponseError) {
      reply.status(error.status);
      return error.body;
    }
    if (error instanceof z.ZodError) {
      reply.status(400);
      return {reason: 'invalid', message: z.prettifyError(error), term: 0};
    }
    throw error;
  }
}
