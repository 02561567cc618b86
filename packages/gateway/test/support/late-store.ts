import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {StoreTransaction, TransactionResult} from '../../src/index.js';
import {MemoryStore} from './memory-store.js';

/** Time after which a transaction without a response is given up, in milliseconds. */
const GIVEN_UP_MS = 50;

/** A store that does not respond to some transactions and executes the last of them later. */
export class LateStore extends MemoryStore {
  /** Number of transactions that get no response from now on. */
  unanswered = 0;
  private lateTransaction: StoreTransaction | undefined;

  /** Whether a transaction without a response was not executed yet. */
  get hasLate(): boolean {
    return this.lateTransaction !== undefined;
  }

  override async transact(
    transaction: StoreTransaction,
  ): Promise<TransactionResult> {
    if (this.unanswered === 0) return super.transact(transaction);
    this.unanswered -= 1;
    this.lateTransaction = transaction;
    await sleep(GIVEN_UP_MS);
    throw new SapphiregladeError(ErrorKind.StoreUnavailable, 'No answer.');
  }

  /** Executes the last transaction that got no response. */
  async executeLate(): Promise<void> {
    const {lateTransaction} = this;
    if (lateTransaction === undefined) throw new Error('Nothing is late.');
    this.lateTransaction = undefined;
    await super.transact(lateTransaction);
  }
}
