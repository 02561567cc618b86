import type {
  ErrorKind,
  LogPosition,
  PreparedStatementKind,
  TransactionState,
} from '@sapphireglade/decisions';

/** Kinds of statement that a caller sends. */
export const StatementKind = {
  Begin: 'begin',
  Commit: 'commit',
  Rollback: 'rollback',
  Read: 'read',
  Write: 'write',
  SetValue: 'set-value',
  Prepare: 'prepare',
  Execute: 'execute',
  Deallocate: 'deallocate',
} as const;

/** One statement, decoded. Texts stay as the caller sent them. */
export type Statement =
  | {readonly kind: typeof StatementKind.Begin; readonly isReadOnly: boolean}
  | {
      readonly kind:
        | typeof StatementKind.Commit
        | typeof StatementKind.Rollback
        | typeof StatementKind.Read
        | typeof StatementKind.Write;
      readonly text: string;
    }
  | {
      readonly kind: typeof StatementKind.SetValue;
      readonly name: string;
      readonly value: string;
    }
  | {
      readonly kind: typeof StatementKind.Prepare;
      readonly name: string;
      readonly preparedKind: PreparedStatementKind;
      readonly shape: string;
    }
  | {
      readonly kind: typeof StatementKind.Execute;
      readonly name: string;
      readonly parameters: string;
    }
  | {readonly kind: typeof StatementKind.Deallocate; readonly name: string};

/** One request of a caller. */
export interface SessionRequest {
  /** The caller's identifier of the request. */
  readonly requestId: string;
  /** The statement, or nothing if it could not be decoded. */
  readonly statement: Statement | undefined;
}

/** Why a request failed. */
export interface SessionFailure {
  readonly kind: ErrorKind;
  readonly detail: string;
  /** When to come back, in milliseconds from now. */
  readonly retryAfterMs: number | undefined;
}

/** The answer to one request. */
export interface SessionReply {
  readonly rows: readonly string[];
  /** Signature of the result, if an instance ran the statement. */
  readonly signature: string | undefined;
  readonly failure: SessionFailure | undefined;
  readonly state: TransactionState;
  /** Position of the instance's log, if one was involved. */
  readonly position: LogPosition | undefined;
}
