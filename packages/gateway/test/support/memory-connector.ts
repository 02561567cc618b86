import {
  comparePositions,
  ErrorKind,
  SapphiregladeError,
  TransactionState,
} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {
  InstanceCommand,
  InstanceEndpoint,
  InstanceReply,
} from '../../src/index.js';
import {
  CommandKind,
  ConnectionLostError,
  InstanceConnection,
  InstanceConnector,
} from '../../src/index.js';
import type {
  InstanceSide,
  MemoryGroup,
  MemoryInstance,
} from './memory-group.js';

/** One-way latency to an instance, in milliseconds. */
const ONE_WAY_LATENCY_MS = 1;

/** A promise that never settles, for replies that are lost. */
const NEVER = new Promise<never>(() => undefined);

/** A connection of one proxy to one in-memory instance. */
class MemoryConnection extends InstanceConnection implements InstanceSide {
  override isOpen = true;
  private isAbandoned = false;
  private state: TransactionState = TransactionState.Idle;
  private writes: string[] = [];
  private rejectAll: ((error: Error) => void)[] = [];
  private readonly listeners: ((reason: string) => void)[] = [];

  constructor(
    private readonly group: MemoryGroup,
    private readonly instance: MemoryInstance,
    private readonly party: string,
    private readonly acknowledges: boolean,
  ) {
    super();
    instance.connections.add(this);
  }

  override get greeting(): InstanceReply {
    return this.reply();
  }

  override run(command: InstanceCommand): Promise<InstanceReply> {
    return new Promise((resolve, reject) => {
      this.rejectAll.push(reject);
      void this.serve(command).then(resolve, reject);
    });
  }

  override close(reason: string): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.instance.connections.delete(this);
    for (const reject of this.rejectAll) {
      reject(new ConnectionLostError(reason, true));
    }
    for (const listener of this.listeners) listener(reason);
  }

  override onClosed(listener: (reason: string) => void): void {
    this.listeners.push(listener);
  }

  /** The proxy notices once it reaches the instance. */
  abandon(): void {
    this.isAbandoned = true;
    this.instance.connections.delete(this);
    if (this.group.reaches(this.party, this.instance)) this.close('reset');
  }

  private async serve(command: InstanceCommand): Promise<InstanceReply> {
    await this.cross();
    const reply = await this.execute(command);
    await this.cross();
    return reply;
  }

  /** Delays a message by the one-way latency; drops it if the proxy is partitioned from the instance. */
  private async cross(): Promise<void> {
    await sleep(ONE_WAY_LATENCY_MS);
    if (!this.group.reaches(this.party, this.instance)) await NEVER;
    if (!this.isAbandoned) return;
    this.close('reset');
    await NEVER;
  }

  private execute(
    command: InstanceCommand,
  ): InstanceReply | Promise<InstanceReply> {
    const {instance} = this;
    switch (command.kind) {
      case CommandKind.Statement:
        return this.statement(command.requestId, command.text, command.atLeast);
      case CommandKind.Begin:
        if (!command.isReadOnly && !instance.isPrimary) return this.readOnly();
        this.state = TransactionState.Open;
        return this.reply();
      case CommandKind.Rollback:
        this.state = TransactionState.Idle;
        this.writes = [];
        return this.reply();
      case CommandKind.HoldTerm:
        instance.heldTerm = Math.max(instance.heldTerm, command.term);
        return this.report();
      case CommandKind.ReleaseTerm:
        instance.heldTerm = 0;
        return this.report();
      case CommandKind.StepDown:
        if (command.term > instance.term) instance.isPrimary = false;
        return this.report();
      case CommandKind.Status:
        return this.report();
      default:
        return this.reply();
    }
  }

  private async statement(
    requestId: string,
    text: string,
    atLeast: InstanceReply['position'],
  ): Promise<InstanceReply> {
    const {instance, party} = this;
    instance.received.push({requestId, proxy: party});
    if (text.startsWith('READ')) {
      const isBehind =
        atLeast !== undefined &&
        comparePositions(instance.position, atLeast) < 0;
      if (isBehind) return this.refuse(ErrorKind.NoFreshReplica);
      return this.success(instance.log.map(entry => entry.requestId));
    }
    if (text === 'COMMIT') {
      const writes = this.writes;
      this.writes = [];
      this.state = TransactionState.Idle;
      if (writes.length === 0) return this.success([]);
      return this.commit(writes.join('+'));
    }
    if (!instance.isPrimary) return this.readOnly();
    if (this.state === TransactionState.Open) {
      this.writes.push(requestId);
      return this.success([]);
    }
    return this.commit(requestId);
  }

  private async commit(requestId: string): Promise<InstanceReply> {
    const entry = await this.group.commit(this.instance, requestId);
    if (entry === undefined) return this.readOnly();
    if (this.acknowledges) {
      this.group.acknowledged.set(requestId, {
        atMs: performance.now(),
        position: entry.position,
      });
    }
    return {...this.success([]), position: entry.position};
  }

  private success(rows: readonly string[]): InstanceReply {
    return {...this.reply(), rows, signature: 'signature'};
  }

  private readOnly(): InstanceReply {
    return this.refuse(ErrorKind.NotPrimary);
  }

  private refuse(kind: ErrorKind): InstanceReply {
    return {...this.reply(), refusal: {kind, detail: kind}};
  }

  private report(): InstanceReply {
    const {id, isPrimary, term, heldTerm, position} = this.instance;
    return {
      ...this.reply(),
      report: {id, isPrimary, term, heldTerm, received: position},
    };
  }

  private reply(): InstanceReply {
    return {
      rows: [],
      signature: undefined,
      refusal: undefined,
      state: this.state,
      position: this.instance.position,
      report: undefined,
    };
  }
}

/** Opens connections to in-memory groups. */
export class MemoryConnector extends InstanceConnector {
  /**
   * @param party - Name of the proxy, for partitions.
   * @param groups - The groups by name.
   * @param acknowledges - Whether the proxy acknowledges each commit that is
   *   confirmed; otherwise the test does.
   */
  constructor(
    private readonly party: string,
    private readonly groups: ReadonlyMap<string, MemoryGroup>,
    private readonly acknowledges = true,
  ) {
    super();
  }

  override async open(
    endpoint: InstanceEndpoint,
    timeoutMs: number,
  ): Promise<InstanceConnection> {
    await sleep(ONE_WAY_LATENCY_MS);
    const group = this.groups.get(endpoint.group);
    const instance = group?.find(endpoint.id);
    if (group === undefined || instance === undefined || instance.isDown) {
      throw unreachableError('refused');
    }
    if (!group.reaches(this.party, instance)) {
      await sleep(timeoutMs);
      throw unreachableError('timed out');
    }
    return new MemoryConnection(group, instance, this.party, this.acknowledges);
  }
}

function unreachableError(reason: string): SapphiregladeError {
  return new SapphiregladeError(ErrorKind.NoConnection, reason);
}
