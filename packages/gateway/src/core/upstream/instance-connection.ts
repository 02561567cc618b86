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

  /** Reply with which the instance accepted the connection; contains its position. */
  abstract readonly greeting: InstanceReply;

  /**
   * Returns whether the protocol of the instance can express a command; every
   * command unless a protocol has limits.
   *
   * @param _command - The command.
   */
  canSend(_command: InstanceCommand): boolean {
    return true;
  }

  /**
   * Sends a command.
   *
   * @throws ConnectionLostError if the connection is lost before the reply, or if
   *   the command cannot be sent.
   */
  abstract run(command: InstanceCommand): Promise<InstanceReply>;

  /** Closes the connection; an open transaction is rolled back. */
  abstract close(reason: string): void;

  /** Calls the listener once when the connection has closed. */
  abstract onClosed(listener: (reason: string) => void): void;
}

/** Opens connections to instances. */
export abstract class InstanceConnector {
  /**
   * Returns whether the protocol of the instances can express a command; every
   * command unless a protocol has limits.
   *
   * @param _command - The command.
   */
  canSend(_command: InstanceCommand): boolean {
    return true;
  }

  /**
   * Opens a connection.
   *
   * @param endpoint - Address and identity of the instance.
   * @param timeoutMs - Timeout for opening the connection, in milliseconds.
   * @throws SapphiregladeError of kind `no-connection` or `wrong-instance`.
   */
  abstract open(
    endpoint: InstanceEndpoint,
    timeoutMs: number,
  ): Promise<InstanceConnection>;
}
