import type {
  ErrorKind,
  LogPosition,
  PreparedStatementKind,
  TransactionState,
} from '@sapphireglade/decisions';

/** Kinds of statement that a caller may send. */
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

/** A decoded statement. Texts are unchanged from what the caller sent. */
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

/** A request of a caller. */
export interface SessionRequest {
  /** Identifier of the request, assigned by the caller. */
  readonly requestId: string;
  /** The statement; undefined if the request could not be decoded. */
  readonly statement: Statement | undefined;
  /** Why it could not be decoded, if there is more to say than that. */
  readonly problem?: string;
}

/** The reason why a request failed. */
export interface SessionFailure {
  readonly kind: ErrorKind;
  readonly detail: string;
  /** Delay before a retry, in milliseconds. */
  readonly retryAfterMs: number | undefined;
}

/** The reply to a request. */
export interface SessionReply {
  readonly rows: readonly string[];
  /** Signature of the result, if an instance ran the statement. */
  readonly signature: string | undefined;
  readonly failure: SessionFailure | undefined;
  readonly state: TransactionState;
  /** Position of the instance's log, if an instance ran the statement. */
  readonly position: LogPosition | undefined;
}
