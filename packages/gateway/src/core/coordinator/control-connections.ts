import type {ReplicationReport} from '@sapphireglade/decisions';
import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {TIMED_OUT, withTimeout} from '../time/index.js';
import type {
  InstanceCommand,
  InstanceConnection,
  InstanceConnector,
  InstanceEndpoint,
} from '../upstream/index.js';
import {ConnectionLostError} from '../upstream/index.js';

/** Maximum time to open a control connection, in milliseconds. */
const OPEN_TIMEOUT_MS = 400;

/**
 * Maximum time to wait for the response to a control command, in milliseconds.
 */
const ANSWER_TIMEOUT_MS = 400;

/**
 * Delay before a command is sent again to an overloaded instance, in
 * milliseconds.
 */
const BUSY_RETRY_DELAY_MS = 15;

/** Maximum number of attempts to send a command to an overloaded instance. */
const MAXIMUM_ATTEMPTS = 8;

/**
 * Control connections of the coordinator to the instances, opened on demand.
 */
export class ControlConnections {
  private readonly open = new Map<string, InstanceConnection>();

  constructor(
    private readonly connector: InstanceConnector,
    private readonly log: Logger,
  ) {}

  /**
   * Sends a control command to an instance and returns its replication report.
   *
   * @param endpoint - The instance.
   * @param command - A command that is answered with a report.
   * @returns The report, or undefined if the instance did not return one.
   */
  async sendCommand(
    endpoint: InstanceEndpoint,
    command: InstanceCommand,
  ): Promise<ReplicationReport | undefined> {
    try {
      return await this.sendWithRetry(endpoint, command);
    } catch (error) {
      const isExpected =
        error instanceof ConnectionLostError ||
        error instanceof SapphiregladeError;
      if (!isExpected) throw error;
      this.closeConnection(endpoint.id, 'a command failed');
      this.log.info('An instance did not respond to the coordinator.', {
        instance: endpoint.id,
        command: command.kind,
        reason: error.message,
      });
      return undefined;
    }
  }

  /** Closes every connection. */
  closeAll(): void {
    for (const id of [...this.open.keys()])
      this.closeConnection(id, 'this proxy is not the coordinator');
  }

  /**
   * Retries while the instance is overloaded; an overloaded instance has
   * executed nothing.
   */
  private async sendWithRetry(
    endpoint: InstanceEndpoint,
    command: InstanceCommand,
  ): Promise<ReplicationReport | undefined> {
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const connection = await this.connect(endpoint);
      const reply = await withTimeout(
        connection.run(command),
        ANSWER_TIMEOUT_MS,
      );
      if (reply === TIMED_OUT) {
        throw new ConnectionLostError(
          'the instance did not respond in time',
          true,
        );
      }
      if (reply.refusal === undefined) return reply.report;
      if (reply.refusal.kind !== ErrorKind.Overloaded) {
        throw new SapphiregladeError(reply.refusal.kind, reply.refusal.detail);
      }
      await new Promise(resolve => setTimeout(resolve, BUSY_RETRY_DELAY_MS));
    }
    throw new SapphiregladeError(
      ErrorKind.Overloaded,
      'The instance remained overloaded.',
    );
  }

  private async connect(
    endpoint: InstanceEndpoint,
  ): Promise<InstanceConnection> {
    const existing = this.open.get(endpoint.id);
    if (existing?.isOpen) return existing;
    const connection = await this.connector.open(endpoint, OPEN_TIMEOUT_MS);
    this.open.set(endpoint.id, connection);
    return connection;
  }

  private closeConnection(id: string, reason: string): void {
    this.open.get(id)?.close(reason);
    this.open.delete(id);
  }
}
