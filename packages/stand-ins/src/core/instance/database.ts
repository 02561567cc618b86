import type {LogPosition} from '@sapphireglade/decisions';
import type {SqlValue} from '@sapphireglade/protocol';
import type {LogEntry} from './replicated-log.js';
import {ReplicatedLog} from './replicated-log.js';
import {RowLocks} from './row-locks.js';
import {parseStatement} from './sql-parser.js';
import {StatementFailedError} from './statement-failed-error.js';
import type {RowChange, StatementEffect} from './tables.js';
import {Tables} from './tables.js';

/** Open transaction with its uncommitted changes. */
export interface OpenTransaction {
  readonly id: string;
  readonly access: 'read' | 'write';
  /** Term in which it began; undefined for a read without a required term. */
  readonly term: number | undefined;
  readonly changes: RowChange[];
}

/** Rows, log and locks of one instance. Each write is one log entry. */
export class Database {
  readonly log = new ReplicatedLog();
  private readonly tables = new Tables();
  private readonly locks = new RowLocks();

  /** @param wallClock - Returns the wall clock time, in milliseconds. */
  constructor(private readonly wallClock: () => number = Date.now) {}

  /**
   * Evaluates a statement. In a transaction, its changes are added to the
   * transaction and the rows are locked.
   *
   * @throws StatementFailedError if the statement breaks a rule, or a row is
   *   locked by another transaction.
   */
  evaluate(
    sql: string,
    parameters: readonly SqlValue[],
    access: 'read' | 'write',
    transaction?: OpenTransaction,
  ): StatementEffect {
    const statement = parseStatement(sql, parameters);
    const effect = this.tables.evaluate(statement, transaction?.changes);
    if (access === 'read' && isWriteStatement(statement.kind)) {
      throw new StatementFailedError('A read cannot change rows.');
    }
    this.checkLocks(effect.changes, transaction?.id);
    if (transaction !== undefined) {
      this.locks.acquire(effect.changes, transaction.id);
      transaction.changes.push(...effect.changes);
    }
    return effect;
  }

  /**
   * Appends changes as one log entry and applies them.
   *
   * @returns Position of the entry; the last position if there are no changes.
   */
  commit(term: number, changes: readonly RowChange[]): LogPosition {
    if (changes.length > 0) this.append(term, [...changes]);
    return this.log.last;
  }

  /** Appends the empty entry with which a term begins. */
  beginTerm(term: number): void {
    this.append(term, []);
  }

  /** Appends an entry to the log and applies it. */
  replicate(entry: LogEntry): void {
    this.log.append(entry);
    this.tables.apply(entry.changes);
  }

  /** Releases the locks of a transaction. */
  endTransaction(id: string): void {
    this.locks.release(id);
  }

  /**
   * Drops the entries after a position and rebuilds the rows without them.
   *
   * @returns Number of dropped entries.
   */
  truncate(position: number): number {
    const dropped = this.log.truncate(position);
    if (dropped === 0) return 0;
    this.tables.clear();
    for (const entry of this.log.listEntries())
      this.tables.apply(entry.changes);
    return dropped;
  }

  private append(term: number, changes: RowChange[]): void {
    const position = this.log.last.position + 1;
    const committedAt = this.wallClock();
    this.replicate({term, position, committedAt, changes});
  }

  private checkLocks(
    changes: readonly RowChange[],
    transaction: string | undefined,
  ): void {
    const locked = changes.find(change =>
      this.locks.isHeldByOther(change, transaction),
    );
    if (locked === undefined) return;
    throw new StatementFailedError(
      `Row "${locked.key}" is locked by another transaction.`,
    );
  }
}

function isWriteStatement(kind: string): boolean {
  return kind !== 'select' && kind !== 'count';
}
