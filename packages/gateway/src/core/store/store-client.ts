import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {
  GrantedLease,
  StoredItem,
  StoreTransaction,
  TransactionResult,
  WatchResult,
} from './store-types.js';

/** A response of the store. */
export interface StoreResponse<Result> {
  /**
   * Generation in which the store responded; rises each time the store is
   * restored from a backup.
   */
  readonly generation: number;
  readonly result: Result;
}

/** The items of a list and the revision after which a watch continues. */
export interface ListedItems {
  readonly items: readonly StoredItem[];
  readonly revision: number;
}

/** The store refused a call without executing it, or failed to respond properly. */
export class StoreRefusedError extends SapphiregladeError {
  /**
   * @param generation - Generation in which the store responded.
   * @param message - Description of the response, as one sentence.
   * @param wasExecuted - Whether the call may have been executed.
   */
  constructor(
    readonly generation: number,
    message: string,
    wasExecuted: boolean,
  ) {
    super(
      ErrorKind.StoreUnavailable,
      message,
      wasExecuted ? {} : {outcome: Outcome.NotRun},
    );
    this.name = 'StoreRefusedError';
  }
}

/**
 * Sends single calls to the platform's store and returns its responses as they
 * are.
 *
 * Every method rejects with a `SapphiregladeError` of kind `store-unavailable`;
 * a `StoreRefusedError` if the store responded. See {@link CoordinationStore}
 * for the calls.
 */
export abstract class StoreClient {
  /** Reads all keys with a prefix. */
  abstract list(
    prefix: string,
    options: {readonly allowStale: boolean},
  ): Promise<StoreResponse<ListedItems>>;

  /** Waits for changes of keys with a prefix. */
  abstract watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<StoreResponse<WatchResult>>;

  /** Executes a transaction. */
  abstract transact(
    transaction: StoreTransaction,
  ): Promise<StoreResponse<TransactionResult>>;

  /** Grants a lease. */
  abstract grantLease(ttlMs: number): Promise<StoreResponse<GrantedLease>>;

  /** Renews a lease. The result is whether it still existed. */
  abstract renewLease(leaseId: number): Promise<StoreResponse<boolean>>;

  /** Revokes a lease. */
  abstract revokeLease(leaseId: number): Promise<StoreResponse<void>>;
}
