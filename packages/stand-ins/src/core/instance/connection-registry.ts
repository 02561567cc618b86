/** Connection counters of an instance. */
export interface ConnectionCounts {
  /** Currently open connections. */
  readonly open: number;
  /** Highest number open at the same time since the start. */
  readonly highest: number;
  /** Connections refused because of the limit since the start. */
  readonly refused: number;
  /** Currently open connections by client. */
  readonly byClient: Readonly<Record<string, number>>;
}

/** Connection to an instance. */
export interface Connection {
  readonly id: string;
  readonly client: string;
}

/** Tracks open connections and enforces the connection limit. */
export class ConnectionRegistry {
  private readonly connections = new Map<object, Connection>();
  private peakConnections = 0;
  private refused = 0;
  private opened = 0;

  /** @param limit - Maximum number of open connections. */
  constructor(private readonly limit: number) {}

  /**
   * Registers a connection; a socket that is already open keeps its connection.
   *
   * @param socket - Socket of the connection.
   * @param client - Name of the client.
   * @returns The connection; undefined if the limit is reached.
   */
  open(socket: object, client: string): Connection | undefined {
    const existing = this.connections.get(socket);
    if (existing !== undefined) return existing;
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

  /** Returns the connection of a socket, if it is open. */
  find(socket: object): Connection | undefined {
    return this.connections.get(socket);
  }

  /** Removes the connection of a socket that has closed. */
  close(socket: object): void {
    this.connections.delete(socket);
  }

  /** Returns the counters. */
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
