import type {SqlValue} from '@sapphireglade/protocol';
import {StatementFailedError} from './statement-failed-error.js';

/** Column with its value, in a condition or an assignment. */
export interface ColumnValue {
  readonly column: string;
  readonly value: SqlValue;
}

/** Parsed statement of the SQL subset that the stand-in supports. */
export type ParsedStatement =
  | {
      readonly kind: 'insert';
      readonly table: string;
      readonly values: readonly ColumnValue[];
    }
  | {
      readonly kind: 'select' | 'count' | 'delete';
      readonly table: string;
      readonly where: readonly ColumnValue[];
    }
  | {
      readonly kind: 'update';
      readonly table: string;
      readonly set: readonly ColumnValue[];
      readonly where: readonly ColumnValue[];
    };

const NAME_PATTERN = '[A-Za-z_][A-Za-z0-9_]*';
const INSERT_PATTERN = new RegExp(
  `^insert\\s+into\\s+(${NAME_PATTERN})\\s*\\(([^()]*)\\)\\s*values\\s*\\(([^()]*)\\)$`,
  'i',
);
const SELECT_PATTERN = new RegExp(
  `^select\\s+(\\*|count\\s*\\(\\s*\\*\\s*\\))\\s+from\\s+(${NAME_PATTERN})(?:\\s+where\\s+(.*))?$`,
  'i',
);
const UPDATE_PATTERN = new RegExp(
  `^update\\s+(${NAME_PATTERN})\\s+set\\s+(.*?)(?:\\s+where\\s+(.*))?$`,
  'i',
);
const DELETE_PATTERN = new RegExp(
  `^delete\\s+from\\s+(${NAME_PATTERN})(?:\\s+where\\s+(.*))?$`,
  'i',
);
const ASSIGNMENT_PATTERN = new RegExp(`^(${NAME_PATTERN})\\s*=\\s*\\?$`);
const WHOLE_NAME_PATTERN = new RegExp(`^${NAME_PATTERN}$`);

/**
 * Parses a statement. Values are passed through placeholders only:
 * `INSERT INTO t (a, b) VALUES (?, ?)`, `SELECT * FROM t WHERE a = ?`,
 * `SELECT COUNT(*) FROM t`, `UPDATE t SET a = ? WHERE b = ? AND c = ?`,
 * `DELETE FROM t WHERE a = ?`.
 *
 * @param sql - SQL text.
 * @param parameters - Values of the placeholders, in order.
 * @throws StatementFailedError if the statement has none of these forms, or the
 *   number of values differs from the number of placeholders.
 */
export function parseStatement(
  sql: string,
  parameters: readonly SqlValue[],
): ParsedStatement {
  const text = sql.trim().replace(/;$/, '').trim();
  const values = new ParameterReader(parameters);
  const parsed =
    parseInsert(text, values) ??
    parseSelect(text, values) ??
    parseUpdate(text, values) ??
    parseDelete(text, values);
  if (parsed === undefined) {
    throw new StatementFailedError('The statement is not supported.');
  }
  values.assertAllRead();
  return parsed;
}

/** Returns the values of the placeholders in order. */
class ParameterReader {
  private next = 0;

  constructor(private readonly parameters: readonly SqlValue[]) {}

  nextValue(): SqlValue {
    const value = this.parameters[this.next];
    if (value === undefined) {
      throw new StatementFailedError('A placeholder has no value.');
    }
    this.next += 1;
    return value;
  }

  assertAllRead(): void {
    if (this.next === this.parameters.length) return;
    throw new StatementFailedError('There are more values than placeholders.');
  }
}

function parseInsert(
  text: string,
  values: ParameterReader,
): ParsedStatement | undefined {
  const match = INSERT_PATTERN.exec(text);
  if (match === null) return undefined;
  const [, table = '', columnList = '', valueList = ''] = match;
  const columns = splitList(columnList);
  const placeholders = splitList(valueList);
  const matches =
    columns.length === placeholders.length &&
    columns.every(column => WHOLE_NAME_PATTERN.test(column)) &&
    placeholders.every(placeholder => placeholder === '?');
  if (!matches) {
    throw new StatementFailedError('Columns and placeholders do not match.');
  }
  return {
    kind: 'insert',
    table,
    values: columns.map(column => ({column, value: values.nextValue()})),
  };
}

function parseSelect(
  text: string,
  values: ParameterReader,
): ParsedStatement | undefined {
  const match = SELECT_PATTERN.exec(text);
  if (match === null) return undefined;
  const [, selection = '', table = '', condition] = match;
  const kind = selection === '*' ? 'select' : 'count';
  return {kind, table, where: parseCondition(condition, values)};
}

function parseUpdate(
  text: string,
  values: ParameterReader,
): ParsedStatement | undefined {
  const match = UPDATE_PATTERN.exec(text);
  if (match === null) return undefined;
  const [, table = '', assignments = '', condition] = match;
  const set = splitList(assignments).map(part => parseAssignment(part, values));
  return {kind: 'update', table, set, where: parseCondition(condition, values)};
}

function parseDelete(
  text: string,
  values: ParameterReader,
): ParsedStatement | undefined {
  const match = DELETE_PATTERN.exec(text);
  if (match === null) return undefined;
  const [, table = '', condition] = match;
  return {kind: 'delete', table, where: parseCondition(condition, values)};
}

function parseCondition(
  condition: string | undefined,
  values: ParameterReader,
): ColumnValue[] {
  if (condition === undefined) return [];
  return condition
    .split(/\s+and\s+/i)
    .map(part => parseAssignment(part.trim(), values));
}

function parseAssignment(part: string, values: ParameterReader): ColumnValue {
  const column = ASSIGNMENT_PATTERN.exec(part)?.[1];
  if (column === undefined) {
    throw new StatementFailedError(
      `"${part}" is not of the form "column = ?".`,
    );
  }
  return {column, value: values.nextValue()};
}

function splitList(text: string): string[] {
  return text.split(',').map(part => part.trim());
}
