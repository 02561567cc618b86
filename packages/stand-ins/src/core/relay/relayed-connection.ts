import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {DelayedPipe} from './delayed-pipe.js';
import type {NetworkModel} from './network-model.js';
import type {RelayRoute} from './settings.js';

/** One connection through the relay: two sockets and a pipe each way. */
export class RelayedConnection {
  private readonly outgoing: Socket;
  private readonly pipes: readonly DelayedPipe[];

  /**
   * @param incoming - The accepted socket.
   * @param route - The route that accepted it.
   * @param network - Decides what becomes of the bytes.
   * @param closed - Called once when the connection has closed.
   */
  constructor(
    private readonly incoming: Socket,
    route: RelayRoute,
    network: NetworkModel,
    closed: () => void,
  ) {
    const from = incoming.remoteAddress ?? '';
    const to = route.targetAddress;
    this.outgoing = connect({
      host: to,
      port: route.targetPort,
      localAddress: from,
      allowHalfOpen: true,
    });
    const close = (): void => this.close();
    this.pipes = [
      new DelayedPipe(incoming, this.outgoing, {from, to}, network, close),
      new DelayedPipe(
        this.outgoing,
        incoming,
        {from: to, to: from},
        network,
        close,
      ),
    ];
    this.propagateClose(network, {from, to});
    incoming.once('close', closed);
  }

  /** Closes both ends. */
  close(): void {
    this.incoming.resetAndDestroy();
    this.outgoing.resetAndDestroy();
  }

  /** Delivers nothing from now on, in both directions. */
  blackhole(): void {
    for (const pipe of this.pipes) pipe.blackhole();
  }

  /** Passes the end of one socket on to the other unless the way is cut. */
  private propagateClose(
    network: NetworkModel,
    way: {from: string; to: string},
  ): void {
    const back = {from: way.to, to: way.from};
    for (const socket of [this.incoming, this.outgoing]) {
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
    }
    this.incoming.once('close', () => {
      if (network.findFault(way) !== 'silent') this.outgoing.destroy();
    });
    this.outgoing.once('close', () => {
      if (network.findFault(back) !== 'silent') this.incoming.destroy();
    });
  }
}
