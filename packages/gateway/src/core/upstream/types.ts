import type {
  ErrorKind,
  ReplicationReport,
  LogPosition,
  PreparedStatement,
  TransactionState,
} from '@sapphireglade/decisions';

/** Where an instance listens, and which one is expected there. */
export interface InstanceEndpoint {
  /** Identifier of the instance; another one at the address is refused. */
  readonly id: string;
  /** Group that the instance belongs to. */
  readonly group: string;
  readonly host: string;
  readonly port: number;
}

/** Kinds of command that an instance understands. */
export const CommandKind = {
  /** Runs a caller's statement as it was sent. */
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
  /** Asks for the position alone; takes no slot. */
  Ping: 'ping',
  /** Asks for role, term and position; takes a slot. */
  Status: 'status',
  /** Asks a replica to receive nothing more from primaries of lower terms. */
  HoldTerm: 'hold-term',
  /** Lets a replica receive again. */
  ReleaseTerm: 'release-term',
  /** Makes a primary of a lower term a replica. */
  StepDown: 'step-down',
} as const;

/** One command to an instance. */
export type InstanceCommand =
  | {
      readonly kind: typeof CommandKind.Statement;
      readonly requestId: string;
      readonly text: string;
      /** Whether the answer waits until a replica has a commit. */
      readonly awaitsReplica: boolean;
      /** Position that the instance must have, for a read. */
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
      /** Position that the instance must have, for a read. */
      readonly atLeast?: LogPosition | undefined;
    }
  | {
      readonly kind: typeof CommandKind.Begin;
      readonly isReadOnly: boolean;
      /** Position that the instance must have. */
      readonly atLeast?: LogPosition | undefined;
    }
  | {
      readonly kind: typeof CommandKind.SetValue;
      readonly name: string;
      readonly value: string;
    }
  | {
      readonly kind: typeof CommandKind.Prepare;
      readonly name: string;
      readonly statement: PreparedStatement;
    }
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

/** Why an instance did not serve a command. */
export interface InstanceRefusal {
  readonly kind: ErrorKind;
  /** The instance's own words. */
  readonly detail: string;
}

/** What an instance answered. */
export interface InstanceReply {
  /** Rows of the result, opaque to the proxy. */
  readonly rows: readonly string[];
  /** Signature of the result, if the statement ran with success. */
  readonly signature: string | undefined;
  /** Why the command failed, if it did. */
  readonly refusal: InstanceRefusal | undefined;
  /** State of the connection's transaction afterwards. */
  readonly state: TransactionState;
  /** Position of the instance's log, if it said so. */
  readonly position: LogPosition | undefined;
  /** What the instance reports of itself, for commands that ask. */
  readonly report: ReplicationReport | undefined;
}
