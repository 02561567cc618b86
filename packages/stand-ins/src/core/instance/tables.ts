import type {SqlValue, Row} from '@sapphireglade/protocol';
import type {ColumnValue, ParsedStatement} from './sql-parser.js';
import {StatementFailedError} from './statement-failed-error.js';

/** Change of one row, as stored in the log. */
export interface RowChange {
  readonly table: string;
  /** Name of the unique column. */
  readonly keyColumn: string;
  /** Value of the unique column. */
  readonly key: SqlValue;
  /** The row after the change; null if it is deleted. */
  readonly row: Row | null;
}

/** Result of evaluating a statement: the rows read and the changes to apply. */
export interface StatementEffect {
  readonly rows: readonly Row[];
  readonly rowCount: number;
  readonly changes: readonly RowChange[];
}

/** Table with its rows by the value of the unique column. */
interface Table {
  readonly keyColumn: string;
  readonly rows: Map<SqlValue, Row>;
}

/**
 * Tables of a database. The first insert creates a table; the first column of
 * that statement becomes the unique column.
 */
export class Tables {
  private readonly tables = new Map<string, Table>();

  /** Applies changes from the log. */
  apply(changes: readonly RowChange[]): void {
    for (const change of changes) this.applyChange(change);
  }

  /** Removes all tables and rows. */
  clear(): void {
    this.tables.clear();
  }

  /**
   * Evaluates a statement without applying its changes.
   *
   * @param statement - Statement to evaluate.
   * @param pending - Uncommitted changes of the same transaction.
   * @throws StatementFailedError if the statement breaks a rule.
   */
  evaluate(
    statement: ParsedStatement,
    pending: readonly RowChange[] = [],
  ): StatementEffect {
    switch (statement.kind) {
      case 'insert':
        return this.evaluateInsert(statement, pending);
      case 'update':
        return this.evaluateUpdate(statement, pending);
      case 'delete':
        return this.evaluateDelete(statement, pending);
      case 'count':
      case 'select':
        return this.evaluateRead(statement, pending);
    }
  }

  private applyChange(change: RowChange): void {
    const table = this.tables.get(change.table) ?? {
      keyColumn: change.keyColumn,
      rows: new Map<SqlValue, Row>(),
    };
    this.tables.set(change.table, table);
    if (change.row === null) {
      table.rows.delete(change.key);
    } else {
      table.rows.set(change.key, change.row);
    }
  }

  private evaluateInsert(
    statement: ParsedStatement & {kind: 'insert'},
    pending: readonly RowChange[],
  ): StatementEffect {
    const row = toRow(statement.values);
    const first = statement.values[0]?.column ?? '';
    const keyColumn = this.findKeyColumn(statement.table, pending) ?? first;
    const key = row[keyColumn];
    if (key === undefined || key === null) {
      throw new StatementFailedError(`Column "${keyColumn}" needs a value.`);
    }
    if (this.findByKey(statement.table, key, pending) !== undefined) {
      throw new StatementFailedError(
        `Table "${statement.table}" already has a row "${key}".`,
      );
    }
    const change = {table: statement.table, keyColumn, key, row};
    return {rows: [], rowCount: 1, changes: [change]};
  }

  private evaluateUpdate(
    statement: ParsedStatement & {kind: 'update'},
    pending: readonly RowChange[],
  ): StatementEffect {
    const {table, set, where} = statement;
    const keyColumn = this.findKeyColumn(table, pending) ?? '';
    if (set.some(({column}) => column === keyColumn)) {
      throw new StatementFailedError('The unique column cannot be changed.');
    }
    const changes = this.find(table, where, pending).map(row => ({
      table,
      keyColumn,
      key: row[keyColumn] ?? null,
      row: {...row, ...toRow(set)},
    }));
    return {rows: [], rowCount: changes.length, changes};
  }

  private evaluateDelete(
    statement: ParsedStatement & {kind: 'select' | 'count' | 'delete'},
    pending: readonly RowChange[],
  ): StatementEffect {
    const {table, where} = statement;
    const keyColumn = this.findKeyColumn(table, pending) ?? '';
    const changes = this.find(table, where, pending).map(row => ({
      table,
      keyColumn,
      key: row[keyColumn] ?? null,
      row: null,
    }));
    return {rows: [], rowCount: changes.length, changes};
  }

  private evaluateRead(
    statement: ParsedStatement & {kind: 'select' | 'count' | 'delete'},
    pending: readonly RowChange[],
  ): StatementEffect {
    const found = this.find(statement.table, statement.where, pending);
    if (statement.kind === 'select') {
      return {rows: found, rowCount: found.length, changes: []};
    }
    return {rows: [{count: found.length}], rowCount: 1, changes: []};
  }

  private findKeyColumn(
    name: string,
    pending: readonly RowChange[],
  ): string | undefined {
    const own = this.tables.get(name)?.keyColumn;
    return own ?? pending.find(({table}) => table === name)?.keyColumn;
  }

  private findByKey(
    name: string,
    key: SqlValue,
    pending: readonly RowChange[],
  ): Row | undefined {
    const change = pending.findLast(
      candidate => candidate.table === name && candidate.key === key,
    );
    if (change !== undefined) return change.row ?? undefined;
    return this.tables.get(name)?.rows.get(key);
  }

  /** Finds rows, by the unique column if the condition contains it. */
  private find(
    name: string,
    where: readonly ColumnValue[],
    pending: readonly RowChange[],
  ): Row[] {
    const keyColumn = this.findKeyColumn(name, pending);
    const byKey = where.find(({column}) => column === keyColumn);
    const candidates =
      byKey === undefined
        ? this.listRows(name, pending)
        : [this.findByKey(name, byKey.value, pending)];
    return candidates.filter(
      (row): row is Row => row !== undefined && matchesConditions(row, where),
    );
  }

  private listRows(name: string, pending: readonly RowChange[]): Row[] {
    const stored = this.tables.get(name)?.rows ?? new Map<SqlValue, Row>();
    const own = pending.filter(({table}) => table === name);
    if (own.length === 0) return [...stored.values()];
    const rows = new Map(stored);
    for (const change of own) {
      if (change.row === null) rows.delete(change.key);
      else rows.set(change.key, change.row);
    }
    return [...rows.values()];
  }
}

function toRow(values: readonly ColumnValue[]): Row {
  return Object.fromEntries(values.map(({column, value}) => [column, value]));
}

function matchesConditions(row: Row, where: readonly ColumnValue[]): boolean {
  return where.every(({column, value}) => row[column] === value);
}
