import type {
  BeginRequest,
  FinishRequest,
  FollowResponse,
  FollowRequest,
  GrantTermResponse,
  GrantTermRequest,
  InstanceStatus,
  PromoteRequest,
  StatementResponse,
  StatementRequest,
  InstanceWatchRequest,
} from '@sapphireglade/protocol';
import type {Observable} from 'rxjs';

/**
 * A connection to one instance. It carries one request at a time.
 *
 * Every method rejects with an {@link UpstreamRefusedError} if the instance
 * refused the request, which then did not run. Otherwise it rejects with a
 * `SapphiregladeError`: its outcome is `not run` if no byte was sent, or
 * `unknown` if no response arrived. After `unknown` the connection is closed
 * and must be replaced.
 */
export abstract class UpstreamConnection {
  /** Identifies the connection at the instance. */
  abstract readonly id: string;

  /** Emits once when either end closes the connection. */
  abstract readonly closed$: Observable<void>;

  /** Whether requests can be sent. */
  abstract readonly isOpen: boolean;

  /** Runs a statement. */
  abstract statement(
    request: StatementRequest,
    timeoutMs: number,
  ): Promise<StatementResponse>;

  /** Begins a transaction on this connection. */
  abstract begin(
    request: BeginRequest,
    timeoutMs: number,
  ): Promise<StatementResponse>;

  /** Commits the transaction on this connection. */
  abstract commit(
    request: FinishRequest,
    timeoutMs: number,
  ): Promise<StatementResponse>;

  /** Rolls back the transaction on this connection. */
  abstract rollback(
    request: FinishRequest,
    timeoutMs: number,
  ): Promise<StatementResponse>;

  /** Waits for a change of the instance status; with a wait of 0, probes it. */
  abstract watch(
    request: InstanceWatchRequest,
    timeoutMs: number,
  ): Promise<InstanceStatus>;

  /** Requests the grant of a term. */
  abstract requestTerm(
    request: GrantTermRequest,
    timeoutMs: number,
  ): Promise<GrantTermResponse>;

  /** Promotes the instance to primary of a term. */
  abstract promote(
    request: PromoteRequest,
    timeoutMs: number,
  ): Promise<InstanceStatus>;

  /** Makes the instance follow the primary of a term. */
  abstract follow(
    request: FollowRequest,
    timeoutMs: number,
  ): Promise<FollowResponse>;

  /** Closes the socket. */
  abstract close(): Promise<void>;
}

/** Opens connections to instances. */
export abstract class UpstreamConnector {
  /** Name of this process in the instances' connection counts. */
  abstract readonly clientName: string;

  /**
   * Opens a connection.
   *
   * @param target - Address and port of the instance.
   * @param timeoutMs - Timeout for opening, in milliseconds.
   * @throws SapphiregladeError of kind `no-connection` if it cannot be opened.
   */
  abstract open(
    target: UpstreamTarget,
    timeoutMs: number,
  ): Promise<UpstreamConnection>;
}

/** Address and port on which an instance listens. */
export interface UpstreamTarget {
  readonly address: string;
  readonly port: number;
}
