import type {PreparedStatement} from '@sapphireglade/decisions';
import {ErrorKind, TransactionState} from '@sapphireglade/decisions';
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {InstanceCommand, InstanceReply} from '../../src/index.js';
import {
  CommandKind,
  ConnectionLostError,
  InstanceConnection,
  InstanceConnector,
} from '../../src/index.js';

/** Kinds of error that promise that nothing of an attempt is kept. */
export const PROMISES: ReadonlySet<string> = new Set([
  'overloaded',
  'deadline-unreachable',
  'no-primary',
  'no-connection',
  'no-fresh-replica',
  'not-primary',
  'transaction-lost',
  'body-too-large',
]);

/** Part of a shape that makes it too long for a message. */
export const TOO_LONG = 'too-long';

/** A statement that the instance ran. */
export interface ObservedRun {
  readonly requestId: string;
  readonly prepared: PreparedStatement | undefined;
  readonly parameters: string;
  readonly values: string;
  /** The connection, and the transaction that was open on it, if any. */
  readonly connection: number;
  readonly transaction: number | undefined;
}

/** Describes session values in an order of their own. */
export function describeValues(values: ReadonlyMap<string, string>): string {
  return [...values]
    .map(entry => entry.join('='))
    .sort()
    .join(' ');
}

/**
 * Returns a generator of numbers from 0 to 1 (mulberry32).
 *
 * @param seed - Determines the numbers.
 */
export function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** An instance whose connections refuse, delay and lose commands. */
export class FaultyInstance extends InstanceConnector {
  readonly runs: ObservedRun[] = [];
  /** Identifiers of the requests whose writes were committed. */
  readonly committed: string[] = [];
  readonly resets: number[] = [];
  /** Share of the commands that meet a fault. */
  faultShare = 0;
  connections = 0;
  transactions = 0;

  /** @param random - Returns a number from 0 to 1. */
  constructor(readonly random: () => number) {
    super();
  }

  override open(): Promise<InstanceConnection> {
    this.connections += 1;
    return Promise.resolve(new FaultyConnection(this, this.connections));
  }
}

class FaultyConnection extends InstanceConnection {
  override isOpen = true;
  private readonly values = new Map<string, string>();
  private readonly prepared = new Map<string, PreparedStatement>();
  private readonly listeners: ((reason: string) => void)[] = [];
  private readonly rejections = new Set<(error: Error) => void>();
  private readonly writes: string[] = [];
  private transaction: number | undefined;
  private served: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly instance: FaultyInstance,
    private readonly id: number,
  ) {
    super();
  }

  override get greeting(): InstanceReply {
    return this.reply();
  }

  override canSend(command: InstanceCommand): boolean {
    return (
      command.kind !== CommandKind.Prepare ||
      !command.statement.shape.includes(TOO_LONG)
    );
  }

  override run(command: InstanceCommand): Promise<InstanceReply> {
    if (!this.isOpen || !this.canSend(command))
      return Promise.reject(new ConnectionLostError('it is closed', false));
    return new Promise((resolve, reject) => {
      this.rejections.add(reject);
      this.served = this.served.then(async () => {
        const reply = await this.serve(command);
        this.rejections.delete(reject);
        if (reply !== undefined) resolve(reply);
      });
    });
  }

  override close(reason: string): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.writes.length = 0;
    for (const reject of this.rejections)
      reject(new ConnectionLostError(reason, true));
    for (const listener of this.listeners) listener(reason);
  }

  override onClosed(listener: (reason: string) => void): void {
    this.listeners.push(listener);
  }

  private async serve(
    command: InstanceCommand,
  ): Promise<InstanceReply | undefined> {
    const {random, faultShare} = this.instance;
    for (let turns = Math.floor(random() * 6); turns > 0; turns -= 1)
      await nextTurn();
    if (!this.isOpen) return undefined;
    const fault = random() < faultShare ? Math.floor(random() * 4) : undefined;
    const isEnd =
      command.kind === CommandKind.Rollback ||
      (command.kind === CommandKind.Statement && command.text === 'COMMIT');
    if ((fault === 0 || fault === 1) && !isEnd)
      return this.refuse(ErrorKind.Overloaded);
    if (fault === 2) {
      this.close('lost before it ran');
      return undefined;
    }
    const reply = this.execute(command);
    if (fault === 3) {
      this.close('the answer was lost');
      return undefined;
    }
    for (let turns = Math.floor(random() * 6); turns > 0; turns -= 1)
      await nextTurn();
    return this.isOpen ? reply : undefined;
  }

  private execute(command: InstanceCommand): InstanceReply {
    const {instance} = this;
    switch (command.kind) {
      case CommandKind.SetValue:
        this.values.set(command.name, command.value);
        return this.reply();
      case CommandKind.Prepare:
        this.prepared.set(command.name, command.statement);
        return this.reply();
      case CommandKind.Clear:
        instance.resets.push(this.id);
        this.values.clear();
        this.prepared.clear();
        return this.reply();
      case CommandKind.Begin:
        instance.transactions += 1;
        this.transaction = instance.transactions;
        return this.reply();
      case CommandKind.Rollback:
        this.writes.length = 0;
        this.transaction = undefined;
        return this.reply();
      case CommandKind.Execute: {
        const prepared = this.prepared.get(command.name);
        if (prepared === undefined)
          return this.refuse(ErrorKind.UnknownStatement);
        return this.record(command.requestId, prepared, command.parameters);
      }
      case CommandKind.Statement:
        if (command.text !== 'COMMIT')
          return this.record(command.requestId, undefined, command.text);
        instance.committed.push(...this.writes.splice(0));
        this.transaction = undefined;
        return this.reply();
      default:
        return this.reply();
    }
  }

  private record(
    requestId: string,
    prepared: PreparedStatement | undefined,
    parameters: string,
  ): InstanceReply {
    const {id: connection, transaction, instance} = this;
    const values = describeValues(this.values);
    instance.runs.push({
      requestId,
      prepared,
      parameters,
      values,
      connection,
      transaction,
    });
    const isWrite = prepared?.kind === 'write';
    if (isWrite && transaction === undefined)
      instance.committed.push(requestId);
    else if (isWrite) this.writes.push(requestId);
    return {...this.reply(), signature: `d.${requestId}`};
  }

  private refuse(kind: ErrorKind): InstanceReply {
    return {...this.reply(), refusal: {kind, detail: kind}};
  }

  private reply(): InstanceReply {
    const isOpen = this.transaction !== undefined;
    return {
      rows: [],
      signature: undefined,
      refusal: undefined,
      state: isOpen ? TransactionState.Open : TransactionState.Idle,
      position: {term: 3, position: this.instance.committed.length},
      report: undefined,
    };
  }
}
