import type {
  InstanceCommand,
  InstanceEndpoint,
  InstanceReply,
} from './types.js';

/**
 * One connection to one instance.
 *
 * Commands are answered in the order in which they were sent.
 */
export abstract class InstanceConnection {
  /** Whether commands can be sent. */
  abstract readonly isOpen: boolean;

  /** Position that the instance showed when the connection opened. */
  abstract readonly greeting: InstanceReply;

  /**
   * Sends a command.
   *
   * @throws ConnectionLostError if the connection ends before the answer.
   */
  abstract run(command: InstanceCommand): Promise<InstanceReply>;

  /** Closes the connection; what runs in a transaction is rolled back. */
  abstract close(reason: string): void;

  /** Calls the listener once when the connection has ended. */
  abstract onClosed(listener: (reason: string) => void): void;
}

/** Opens connections to instances. */
export abstract class InstanceConnector {
  /**
   * Opens a connection.
   *
   * @param endpoint - Where the instance listens, and which one it is.
   * @param timeoutMs - How long opening may take, in milliseconds.
   * @throws SapphiregladeError of kind `no-connection` or `wrong-instance`.
   */
  abstract open(
    endpoint: InstanceEndpoint,
    timeoutMs: number,
  ): Promise<InstanceConnection>;
}
