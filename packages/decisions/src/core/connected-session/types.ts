/** State of a session's transaction, as visible to its caller. */
export const TransactionState = {
  /** No transaction is open. */
  Idle: 'idle',
  /** A transaction is open. */
  Open: 'open',
  /** The transaction failed; only ending it is accepted. */
  Failed: 'failed',
} as const;

/** One of the transaction states. */
export type TransactionState =
  (typeof TransactionState)[keyof typeof TransactionState];

/** Whether a prepared statement reads or writes. */
export const PreparedStatementKind = {Read: 'read', Write: 'write'} as const;

/** One of the kinds of prepared statement. */
export type PreparedStatementKind =
  (typeof PreparedStatementKind)[keyof typeof PreparedStatementKind];

/** A prepared statement, independent of the name that a caller gave it. */
export interface PreparedStatement {
  /** Whether it reads or writes. */
  readonly kind: PreparedStatementKind;
  /** Shape of the statement; opaque to the proxy. */
  readonly shape: string;
}

/** Session state of one upstream connection. */
export interface ConnectionSessionState {
  /** Values that are set on the connection. */
  readonly values: ReadonlyMap<string, string>;
  /** Names that are prepared on the connection. */
  readonly prepared: ReadonlySet<string>;
}
