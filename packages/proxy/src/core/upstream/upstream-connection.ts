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
 * One connection to one instance. It carries one request at a time.
 *
 * Every method rejects with an {@link UpstreamRefusedError} when the instance
 * itself refused, which means that the request did not run; and with a
 * `SapphiregladeError` whose outcome is `not run` when no byte was handed over,
 * or `unknown` when the answer did not come. After `unknown` the connection is
 * closed and must be replaced.
 */
export abstract class UpstreamConnection {
  /** Identifies the connection at the instance. */
  abstract readonly id: string;

  /** Emits once when the connection is closed, whoever closed it. */
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

  /** Waits for news of the instance; with a wait of 0 it is a probe. */
  abstract watch(
    request: InstanceWatchRequest,
    timeoutMs: number,
  ): Promise<InstanceStatus>;

  /** Asks for a term. */
  abstract requestTerm(
    request: GrantTermRequest,
    timeoutMs: number,
  ): Promise<GrantTermResponse>;

  /** Makes the instance primary of a term. */
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
  /** Name of this process in the instances' own counts. */
  abstract readonly clientName: string;

  /**
   * Opens a connection.
   *
   * @param target - Where the instance listens.
   * @param timeoutMs - How long opening may take, in milliseconds.
   * @throws SapphiregladeError of kind `no-connection`.
   */
  abstract open(
    target: UpstreamTarget,
    timeoutMs: number,
  ): Promise<UpstreamConnection>;
}

/** Where an instance listens. */
export interface UpstreamTarget {
  readonly address: string;
  readonly port: number;
}
