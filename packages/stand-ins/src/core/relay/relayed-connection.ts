import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {DelayedPipe} from './delayed-pipe.js';
import type {NetworkModel} from './network-model.js';
import type {RelayRoute} from './settings.js';

/** Connection through the relay: two sockets and a pipe in each direction. */
export class RelayedConnection {
  private readonly outgoing: Socket;
  private readonly pipes: readonly DelayedPipe[];

  /**
   * @param incoming - The accepted socket.
   * @param route - The route that accepted it.
   * @param network - Schedules the delivery of the bytes.
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

  /** Drops pending and future bytes in both directions. */
  blackhole(): void {
    for (const pipe of this.pipes) pipe.blackhole();
  }

  /** Closes each socket with the other, unless the direction is silent. */
  private propagateClose(
    network: NetworkModel,
    direction: {from: string; to: string},
  ): void {
    const reverse = {from: direction.to, to: direction.from};
    for (const socket of [this.incoming, this.outgoing]) {
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
    }
    this.incoming.once('close', () => {
      if (network.findFault(direction) !== 'silent') this.outgoing.destroy();
    });
    this.outgoing.once('close', () => {
      if (network.findFault(reverse) !== 'silent') this.incoming.destroy();
    });
  }
}
