import type {
  ErrorKind,
  ReplicationReport,
  LogPosition,
  PreparedStatement,
  TransactionState,
} from '@sapphireglade/decisions';

/** Address of an instance, and the identity expected there. */
export interface InstanceEndpoint {
  /** Identifier of the instance; a connection to another instance at this address is refused. */
  readonly id: string;
  /** Group that the instance belongs to. */
  readonly group: string;
  readonly host: string;
  readonly port: number;
}

/** Kinds of command that an instance accepts. */
export const CommandKind = {
  /** Runs a statement of a caller, unchanged. */
  Statement: 'statement',
  /** Runs a statement that was prepared on the connection. */
  Execute: 'execute',
  /** Begins a transaction. */
  Begin: 'begin',
  /** Rolls the transaction back. */
  Rollback: 'rollback',
  /** Sets a session value. */
  SetValue: 'set-value',
  /** Prepares a statement. */
  Prepare: 'prepare',
  /** Clears session values and prepared statements. */
  Clear: 'clear',
  /** Requests only the position; occupies no slot. */
  Ping: 'ping',
  /** Requests role, term and position; occupies a slot. */
  Status: 'status',
  /** Makes a replica reject replication from primaries of lower terms. */
  HoldTerm: 'hold-term',
  /** Allows a replica to receive replication again. */
  ReleaseTerm: 'release-term',
  /** Demotes a primary of a lower term to a replica. */
  StepDown: 'step-down',
} as const;

/** Prepares a statement on a connection. */
export interface PrepareCommand {
  readonly kind: typeof CommandKind.Prepare;
  /** Name under which the statement is prepared upstream. */
  readonly name: string;
  readonly statement: PreparedStatement;
}

/** A command to an instance. */
export type InstanceCommand =
  | {
      readonly kind: typeof CommandKind.Statement;
      readonly requestId: string;
      readonly text: string;
      /** Whether the answer waits until a replica has a commit. */
      readonly awaitsReplica: boolean;
      /** Position that the instance must have reached, for a read. */
      readonly atLeast?: LogPosition | undefined;
    }
  | {
      readonly kind: typeof CommandKind.Execute;
      readonly requestId: string;
      /** Name under which the statement is prepared upstream. */
      readonly name: string;
      /** Parameters, as the caller sent them. */
      readonly parameters: string;
      /** Whether the answer waits until a replica has a commit. */
      readonly awaitsReplica: boolean;
      /** Position that the instance must have reached, for a read. */
      readonly atLeast?: LogPosition | undefined;
    }
  | {
      readonly kind: typeof CommandKind.Begin;
      readonly isReadOnly: boolean;
      /** Position that the instance must have reached. */
      readonly atLeast?: LogPosition | undefined;
    }
  | {
      readonly kind: typeof CommandKind.SetValue;
      readonly name: string;
      readonly value: string;
    }
  | PrepareCommand
  | {
      readonly kind: typeof CommandKind.HoldTerm | typeof CommandKind.StepDown;
      readonly term: number;
    }
  | {
      readonly kind:
        | typeof CommandKind.Rollback
        | typeof CommandKind.Clear
        | typeof CommandKind.Ping
        | typeof CommandKind.Status
        | typeof CommandKind.ReleaseTerm;
    };

/** The reason why an instance refused a command. */
export interface InstanceRefusal {
  readonly kind: ErrorKind;
  /** Explanation as sent by the instance. */
  readonly detail: string;
}

/** The reply of an instance to a command. */
export interface InstanceReply {
  /** Rows of the result, opaque to the proxy. */
  readonly rows: readonly string[];
  /** Signature of the result, if the statement succeeded. */
  readonly signature: string | undefined;
  /** Why the command failed; undefined if it succeeded. */
  readonly refusal: InstanceRefusal | undefined;
  /** State of the connection's transaction after the command. */
  readonly state: TransactionState;
  /** Position of the instance's log, if it was reported. */
  readonly position: LogPosition | undefined;
  /** Replication state of the instance, for commands that request it. */
  readonly report: ReplicationReport | undefined;
}
