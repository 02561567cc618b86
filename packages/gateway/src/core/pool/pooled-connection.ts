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
import {awaitsReplica} from './instance-responsiveness.js';

/** Called with each reply, the time its command was sent, and the command. */
export type ReplyListener = (
  reply: InstanceReply,
  sentAtMs: number,
  command: InstanceCommand,
) => void;

/** A command that is not answered yet. */
interface OutstandingCommand {
  readonly sentAtMs: number;
  readonly awaitsReplica: boolean;
}

/** Number of connections that this process has opened. */
let openedConnections = 0;

/** A connection of a pool, with the session state that is set on it. */
export class PooledConnection implements ConnectionSessionState {
  /** Identifies the connection in logs; unique in this process. */
  readonly id: number;
  /** Values that are set on the connection. */
  readonly values = new Map<string, string>();
  /** Names of the statements that are prepared on the connection. */
  readonly prepared = new Set<string>();
  /** When the connection was acquired from the pool, in milliseconds. */
  acquiredAtMs = 0;
  /** When the connection was released to the pool, in milliseconds. */
  releasedAtMs = steadyNowMs();
  /** When the connection opened, in milliseconds. */
  readonly openedAtMs = steadyNowMs();
  /**
   * Since when the instance behind the connection is known to have run without a
   * restart, in milliseconds.
   */
  standingSinceMs = this.openedAtMs;
  private transactionState: TransactionState = TransactionState.Idle;
  private readonly outstandingCommands: OutstandingCommand[] = [];
  private lastReplyAtMs = steadyNowMs();
  private lastAnsweredSentAtMs = -Infinity;

  constructor(
    private readonly connection: InstanceConnection,
    private readonly onReply: ReplyListener,
  ) {
    openedConnections += 1;
    this.id = openedConnections;
  }

  /** Whether commands can be sent. */
  get isOpen(): boolean {
    return this.connection.isOpen;
  }

  /** State of the transaction on the instance. */
  get state(): TransactionState {
    return this.transactionState;
  }

  /** When the instance last answered, in milliseconds. */
  get lastAnsweredAtMs(): number {
    return this.lastReplyAtMs;
  }

  /** When the oldest unanswered command was sent, if there is one. */
  get unansweredSinceMs(): number | undefined {
    return this.outstandingCommands[0]?.sentAtMs;
  }

  /** When the oldest unanswered commit was sent, if there is one. */
  get unansweredCommitSinceMs(): number | undefined {
    return this.outstandingCommands.find(each => each.awaitsReplica)?.sentAtMs;
  }

  /**
   * Learns from another connection to the same address how long the instance has
   * run. If that one has answered a command which was sent after this one opened,
   * both end at the same process.
   */
  learnStanding(other: PooledConnection): void {
    const isSameProcess =
      other.openedAtMs <= this.openedAtMs &&
      other.lastAnsweredSentAtMs >= this.openedAtMs;
    if (!isSameProcess) return;
    this.standingSinceMs = Math.min(
      this.standingSinceMs,
      other.standingSinceMs,
    );
  }

  /** Returns whether the instance's protocol can express a command. */
  canSend(command: InstanceCommand): boolean {
    return this.connection.canSend(command);
  }

  /** Sends a command, and updates the state of the connection from its reply. */
  async run(command: InstanceCommand): Promise<InstanceReply> {
    if (!this.isOpen) throw new ConnectionLostError('it is closed', false);
    const sentAtMs = steadyNowMs();
    const outstanding = {sentAtMs, awaitsReplica: awaitsReplica(command)};
    this.outstandingCommands.push(outstanding);
    const reply = await this.connection.run(command).finally(() => {
      const index = this.outstandingCommands.indexOf(outstanding);
      this.outstandingCommands.splice(index, 1);
    });
    this.lastReplyAtMs = steadyNowMs();
    this.lastAnsweredSentAtMs = Math.max(this.lastAnsweredSentAtMs, sentAtMs);
    this.transactionState = reply.state;
    this.trackSessionState(command, reply);
    this.onReply(reply, sentAtMs, command);
    return reply;
  }

  /**
   * Sets a session's values and prepared statement on the connection.
   *
   * @param plan - The changes to make.
   * @param prepare - Command that prepares the statement, if the plan requires it.
   * @returns The first reply that is a refusal, if any.
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

  /** Records the session state that the command has set on the instance. */
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
