import type {LogPosition, WaitingRequest} from '@sapphireglade/decisions';
import type {PooledConnection} from './pooled-connection.js';

/** A request for a connection. */
export interface ConnectionRequest extends WaitingRequest {
  /** Values of the session, to prefer a connection that holds them. */
  readonly values: ReadonlyMap<string, string>;
}

/** A request that waits, and how its waiting ends. */
export interface QueuedConnectionRequest extends ConnectionRequest {
  readonly resolve: (connection: PooledConnection) => void;
  readonly reject: (error: Error) => void;
}

/** A position that the instance showed, and when it was asked. */
export interface ReportedPosition {
  readonly sentAtMs: number;
  readonly position: LogPosition;
}
