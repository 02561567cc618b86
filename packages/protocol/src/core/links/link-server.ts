import type {Server} from 'node:net';
import {createServer} from 'node:net';

import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {SupervisedTask} from '@sapphireglade/runtime';
import type {LinkAddress} from './link-dialer.js';
import {Link} from './link.js';
import type {LinkContext} from './types.js';

/** Most open links that a process accepts. */
const MAXIMUM_LINKS = 4_096;

/** Accepts links from other proxies. */
export class LinkServer extends SupervisedTask {
  private readonly links = new Set<Link>();
  private readonly server: Server;

  /**
   * @param address - Address and port to listen on.
   * @param context - Configuration shared by all links of this process.
   * @param log - Logs closed links.
   */
  constructor(
    private readonly address: LinkAddress,
    private readonly context: LinkContext,
    private readonly log: Logger,
  ) {
    super('link-server');
    this.server = createServer({noDelay: true}, socket => {
      this.accept(new Link(socket, this.context));
    });
    this.server.maxConnections = MAXIMUM_LINKS;
  }

  /** The open links. */
  get openLinks(): readonly Link[] {
    return [...this.links].filter(link => link.isOpen);
  }

  /**
   * The port that the server listens on; assigned by the system if the
   * configured one is 0.
   */
  get port(): number {
    const bound = this.server.address();
    return typeof bound === 'object' && bound !== null
      ? bound.port
      : this.address.port;
  }

  /** Opens the port. */
  protected async onStart(): Promise<void> {
    const {address, port} = this.address;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', cause =>
        reject(
          new SapphiregladeError(
            ErrorKind.ListenFailed,
            `The peer port ${address}:${port} cannot be opened.`,
            {cause},
          ),
        ),
      );
      this.server.listen(port, address, resolve);
    });
  }

  /** Closes the port and all links. */
  protected async onStop(): Promise<void> {
    const closed = new Promise<void>(resolve => {
      this.server.close(() => resolve());
    });
    for (const link of this.links) link.close();
    await closed;
  }

  private accept(link: Link): void {
    this.links.add(link);
    link.closed$.subscribe(error => this.onClosed(link, error));
  }

  private onClosed(link: Link, error: SapphiregladeError): void {
    this.links.delete(link);
    this.log.info('A link from another proxy closed.', {
      peer: link.peer?.process,
      kind: error.kind,
    });
  }
}
