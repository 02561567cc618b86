import type {Server, Socket} from 'node:net';
import {createServer} from 'node:net';
import type {FastifyInstance} from 'fastify';
import fastify from 'fastify';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {NetworkModel} from './network-model.js';
import {RelayedConnection} from './relayed-connection.js';
import type {RelayConditions, RelayRoute, RelaySettings} from './settings.js';
import {relayConditionsSchema} from './settings.js';

/**
 * TCP relay that simulates the network between availability zones: latency,
 * partitions and the limited bandwidth between regions. It identifies a process
 * by the IP address from which it connects.
 *
 * The control port serves `GET` and `PUT /conditions`, and `GET /traffic`.
 */
export class NetworkRelay {
  private readonly network: NetworkModel;
  private readonly control: FastifyInstance;
  private readonly servers: Server[] = [];
  private readonly connections = new Set<RelayedConnection>();

  /** @param settings - Routes, locations and latencies. */
  constructor(private readonly settings: RelaySettings) {
    const generator = xoroshiro128plus(settings.seed);
    this.network = new NetworkModel(settings, () => uniformFloat64(generator));
    this.control = this.createControlServer();
  }

  /** Starts listening on every route. */
  async start(): Promise<void> {
    const {address, controlPort, routes} = this.settings;
    for (const route of routes) await this.open(route);
    await this.control.listen({host: address, port: controlPort});
  }

  /** Closes every route and connection. */
  async stop(): Promise<void> {
    for (const server of this.servers) server.close();
    for (const connection of this.connections) connection.close();
    await this.control.close();
  }

  private async open(route: RelayRoute): Promise<void> {
    const server = createServer({allowHalfOpen: true}, socket =>
      this.acceptConnection(socket, route),
    );
    this.servers.push(server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(route.port, route.address, () => resolve());
    });
  }

  private acceptConnection(socket: Socket, route: RelayRoute): void {
    const from = socket.remoteAddress ?? '';
    const direction = {from, to: route.targetAddress};
    if (this.network.findFault(direction) === 'closed') {
      socket.resetAndDestroy();
      return;
    }
    const connection = new RelayedConnection(socket, route, this.network, () =>
      this.connections.delete(connection),
    );
    this.connections.add(connection);
  }

  private createControlServer(): FastifyInstance {
    const control = fastify({forceCloseConnections: true});
    control.get('/conditions', () => this.network.conditions);
    control.put('/conditions', request => {
      this.applyConditions(relayConditionsSchema.parse(request.body));
      return {};
    });
    control.get('/traffic', () => ({
      connections: this.connections.size,
      carriedBytes: this.network.carriedBytes,
    }));
    return control;
  }

  private applyConditions(conditions: RelayConditions): void {
    this.network.conditions = conditions;
    if (!conditions.silenceOpen) return;
    for (const connection of this.connections) connection.blackhole();
  }
}
