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

/** How long opening a control connection may take, in milliseconds. */
const OPEN_TIMEOUT_MS = 400;

/** How long an instance may take to answer a control command, in milliseconds. */
const ANSWER_TIMEOUT_MS = 400;

/** Pause after an instance was busy, in milliseconds. */
const BUSY_RETRY_DELAY_MS = 15;

/** Most times that a busy instance is asked. */
const MAXIMUM_ATTEMPTS = 8;

/** The coordinator's own connection to each instance, opened when needed. */
export class ControlConnections {
  private readonly open = new Map<string, InstanceConnection>();

  constructor(
    private readonly connector: InstanceConnector,
    private readonly log: Logger,
  ) {}

  /**
   * Asks an instance for a report of itself.
   *
   * @param endpoint - The instance.
   * @param command - A command whose answer is a report.
   * @returns The report, or nothing if none came.
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
      this.closeConnection(endpoint.id, 'it failed');
      this.log.info('An instance did not answer the coordinator.', {
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
      this.closeConnection(id, 'not coordinating');
  }

  /** A busy instance is asked again; it did nothing. */
  private async sendWithRetry(
    endpoint: InstanceEndpoint,
    command: InstanceCommand,
  ): Promise<ReplicationReport | undefined> {
    for (let count = 0; count < MAXIMUM_ATTEMPTS; count += 1) {
      const connection = await this.connect(endpoint);
      const reply = await withTimeout(
        connection.run(command),
        ANSWER_TIMEOUT_MS,
      );
      if (reply === TIMED_OUT) {
        throw new ConnectionLostError('it did not answer in time', true);
      }
      if (reply.refusal === undefined) return reply.report;
      if (reply.refusal.kind !== ErrorKind.Overloaded) {
        throw new SapphiregladeError(reply.refusal.kind, reply.refusal.detail);
      }
      await new Promise(resolve => setTimeout(resolve, BUSY_RETRY_DELAY_MS));
    }
    throw new SapphiregladeError(ErrorKind.Overloaded, 'It stayed busy.');
  }

  private async connect(
    endpoint: InstanceEndpoint,
  ): Promise<InstanceConnection> {
    const known = this.open.get(endpoint.id);
    if (known?.isOpen) return known;
    const connection = await this.connector.open(endpoint, OPEN_TIMEOUT_MS);
    this.open.set(endpoint.id, connection);
    return connection;
  }

  private closeConnection(id: string, reason: string): void {
    this.open.get(id)?.close(reason);
    this.open.delete(id);
  }
}
