/** State of a session's transaction, as its caller sees it. */
export const TransactionState = {
  /** No transaction is open. */
  Idle: 'idle',
  /** A transaction is open. */
  Open: 'open',
  /** The transaction failed; only its end is accepted. */
  Failed: 'failed',
} as const;

/** One of the states. */
export type TransactionState =
  (typeof TransactionState)[keyof typeof TransactionState];

/** What a prepared statement does. */
export const PreparedStatementKind = {Read: 'read', Write: 'write'} as const;

/** One of the kinds. */
export type PreparedStatementKind =
  (typeof PreparedStatementKind)[keyof typeof PreparedStatementKind];

/** A prepared statement, independent of the name that a caller gave it. */
export interface PreparedStatement {
  /** Whether it reads or writes. */
  readonly kind: PreparedStatementKind;
  /** What it is prepared for; opaque to the proxy. */
  readonly shape: string;
}

/** What one upstream connection holds of a session. */
export interface ConnectionSessionState {
  /** Values that are set on the connection. */
  readonly values: ReadonlyMap<string, string>;
  /** Names that are prepared on the connection. */
  readonly prepared: ReadonlySet<string>;
}
