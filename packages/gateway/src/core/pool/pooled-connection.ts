import type {
  ConnectionSessionState,
  SynchronizationPlan,
} from '@sapphireglade/decisions';
import {TransactionState} from '@sapphireglade/decisions';
import {steadyNowMs} from '../time/index.js';
import type {
  InstanceCommand,
  InstanceConnection,
  InstanceReply,
} from '../upstream/index.js';
import {CommandKind, ConnectionLostError} from '../upstream/index.js';

/** What the pool learns from each answer. */
export type ReplyListener = (
  reply: InstanceReply,
  sentAtMs: number,
  command: InstanceCommand,
) => void;

/** A command that has not been answered. */
interface OutstandingCommand {
  readonly sentAtMs: number;
  readonly awaitsReplica: boolean;
}

/** A connection of a pool, and what it holds of sessions. */
export class PooledConnection implements ConnectionSessionState {
  /** Values that are set on the connection. */
  readonly values = new Map<string, string>();
  /** Names that are prepared on the connection. */
  readonly prepared = new Set<string>();
  /** When the connection was taken from the pool, in milliseconds. */
  acquiredAtMs = 0;
  /** When the connection was given back to the pool, in milliseconds. */
  releasedAtMs = steadyNowMs();
  /** When the connection opened, in milliseconds. */
  readonly openedAtMs = steadyNowMs();
  private transactionState: TransactionState = TransactionState.Idle;
  private readonly outstandingCommands: OutstandingCommand[] = [];
  private lastReplyAtMs = steadyNowMs();

  constructor(
    private readonly connection: InstanceConnection,
    private readonly onReply: ReplyListener,
  ) {}

  /** Whether commands can be sent. */
  get isOpen(): boolean {
    return this.connection.isOpen;
  }

  /** State of the transaction at the instance. */
  get state(): TransactionState {
    return this.transactionState;
  }

  /** When the instance last answered, in milliseconds. */
  get lastAnsweredAtMs(): number {
    return this.lastReplyAtMs;
  }

  /** When the oldest unanswered command was sent, if any is. */
  get unansweredSinceMs(): number | undefined {
    return this.outstandingCommands[0]?.sentAtMs;
  }

  /** When the oldest unanswered commit was sent, if any is. */
  get unansweredCommitSinceMs(): number | undefined {
    return this.outstandingCommands.find(each => each.awaitsReplica)?.sentAtMs;
  }

  /** Sends a command and takes in what its answer says. */
  async run(command: InstanceCommand): Promise<InstanceReply> {
    if (!this.isOpen) throw new ConnectionLostError('it is closed', false);
    const sentAtMs = steadyNowMs();
    const awaitsReplica = 'awaitsReplica' in command && command.awaitsReplica;
    this.outstandingCommands.push({sentAtMs, awaitsReplica});
    const reply = await this.connection.run(command);
    this.outstandingCommands.shift();
    this.lastReplyAtMs = steadyNowMs();
    this.transactionState = reply.state;
    this.trackSessionState(command, reply);
    this.onReply(reply, sentAtMs, command);
    return reply;
  }

  /**
   * Makes the connection hold a session's values and prepared statement.
   *
   * @param plan - What is missing.
   * @param prepare - Prepares the statement, if the plan says so.
   * @returns The first answer that was not a success, if any.
   */
  async synchronize(
    plan: SynchronizationPlan,
    prepare: InstanceCommand | undefined,
  ): Promise<InstanceReply | undefined> {
    const commands: InstanceCommand[] = [];
    if (plan.clear) commands.push({kind: CommandKind.Clear});
    for (const [name, value] of plan.values) {
      commands.push({kind: CommandKind.SetValue, name, value});
    }
    if (plan.prepare && prepare !== undefined) commands.push(prepare);
    const replies = await Promise.all(
      commands.map(command => this.run(command)),
    );
    return replies.find(({refusal}) => refusal !== undefined);
  }

  /** Closes the connection. */
  close(reason: string): void {
    this.connection.close(reason);
  }

  /** Keeps what the instance now holds. */
  private trackSessionState(
    command: InstanceCommand,
    reply: InstanceReply,
  ): void {
    if (reply.refusal !== undefined) return;
    if (command.kind === CommandKind.SetValue) {
      this.values.set(command.name, command.value);
    } else if (command.kind === CommandKind.Prepare) {
      this.prepared.add(command.name);
    } else if (command.kind === CommandKind.Clear) {
      this.values.clear();
      this.prepared.clear();
    }
  }
}
