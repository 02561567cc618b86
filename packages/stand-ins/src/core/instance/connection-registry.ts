/** What an instance has counted of its connections. */
export interface ConnectionCounts {
  /** Open now. */
  readonly open: number;
  /** Most that were open at the same time since the start. */
  readonly highest: number;
  /** Refused because of the limit since the start. */
  readonly refused: number;
  /** Open now, by client. */
  readonly byClient: Readonly<Record<string, number>>;
}

/** One connection. */
export interface Connection {
  readonly id: string;
  readonly client: string;
}

/** Counts connections and enforces the owner's limit. */
export class ConnectionRegistry {
  private readonly connections = new Map<object, Connection>();
  private peakConnections = 0;
  private refused = 0;
  private opened = 0;

  /** @param limit - Most connections at the same time. */
  constructor(private readonly limit: number) {}

  /**
   * Admits a connection.
   *
   * @param socket - Its socket.
   * @param client - Who opens it.
   * @returns The connection; undefined if the limit is reached.
   */
  open(socket: object, client: string): Connection | undefined {
    const known = this.connections.get(socket);
    if (known !== undefined) return known;
    if (this.connections.size >= this.limit) {
      this.refused += 1;
      return undefined;
    }
    this.opened += 1;
    const connection = {id: `connection-${this.opened}`, client};
    this.connections.set(socket, connection);
    this.peakConnections = Math.max(
      this.peakConnections,
      this.connections.size,
    );
    return connection;
  }

  /** Finds the connection of a socket. */
  find(socket: object): Connection | undefined {
    return this.connections.get(socket);
  }

  /** Forgets the connection of a socket that has closed. */
  close(socket: object): void {
    this.connections.delete(socket);
  }

  /** What was counted. */
  counts(): ConnectionCounts {
    const byClient: Record<string, number> = {};
    for (const {client} of this.connections.values()) {
      byClient[client] = (byClient[client] ?? 0) + 1;
    }
    const {size: open} = this.connections;
    return {
      open,
      highest: this.peakConnections,
      refused: this.refused,
      byClient,
    };
  }
}
