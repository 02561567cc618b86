import type {LogPosition, WaitingRequest} from '@sapphireglade/decisions';
import type {PooledConnection} from './pooled-connection.js';

/** A request for a connection. */
export interface ConnectionRequest extends WaitingRequest {
  /** Values of the session; a connection on which they are set is preferred. */
  readonly values: ReadonlyMap<string, string>;
}

/** A waiting request, with the callbacks that settle it. */
export interface QueuedConnectionRequest extends ConnectionRequest {
  readonly resolve: (connection: PooledConnection) => void;
  readonly reject: (error: Error) => void;
}

/** A position that the instance reported, and when the command was sent. */
export interface ReportedPosition {
  readonly sentAtMs: number;
  readonly position: LogPosition;
  /** Term that the instance has followed; undefined if it was not asked for. */
  readonly term?: number | undefined;
}
