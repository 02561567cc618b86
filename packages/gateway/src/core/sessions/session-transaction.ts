import type {Route} from '../configuration/index.js';
import {steadyNowMs} from '../time/index.js';
import type {InstanceReply} from '../upstream/index.js';
import type {UpstreamTransaction} from './upstream-transaction.js';
import type {ExecutionRequest} from './runnable-statement.js';
import type {StatementRunner} from './statement-runner.js';

/** A transaction of one session. It begins upstream with its first statement. */
export class SessionTransaction {
  private upstreamTransaction: UpstreamTransaction | undefined;
  private wasWriteSent = false;

  /**
   * @param isReadOnly - Whether the transaction is read-only.
   * @param route - The route at the start of the transaction, used until its end.
   * @param runner - Begins the transaction upstream.
   * @param beganAtMs - When the transaction started, in milliseconds of the steady clock.
   */
  constructor(
    readonly isReadOnly: boolean,
    readonly route: Route,
    private readonly runner: StatementRunner,
    readonly beganAtMs: number = steadyNowMs(),
  ) {}

  /** Whether a write was sent in this transaction. */
  get hasWritten(): boolean {
    return this.wasWriteSent;
  }

  /**
   * Runs a statement.
   *
   * @throws SapphiregladeError, after which the transaction cannot continue.
   */
  async run(request: ExecutionRequest): Promise<InstanceReply> {
    const upstream = await this.ensureBegun(request);
    if (!request.statement.isRead) this.wasWriteSent = true;
    return upstream.run(request);
  }

  /**
   * Commits the transaction.
   *
   * @throws SapphiregladeError of kind `outcome-unknown` if the commit was sent
   *   to the instance and not answered.
   */
  async commit(request: ExecutionRequest): Promise<InstanceReply> {
    const upstream = await this.ensureBegun(request);
    const reply = await upstream.commit(request, this.wasWriteSent);
    this.upstreamTransaction = undefined;
    return reply;
  }

  /** Rolls the transaction back. */
  rollBack(): void {
    this.upstreamTransaction?.rollBack();
    this.upstreamTransaction = undefined;
  }

  private async ensureBegun(
    request: ExecutionRequest,
  ): Promise<UpstreamTransaction> {
    this.upstreamTransaction ??= await this.runner.begin(
      {...request, startedAtMs: this.beganAtMs},
      this.isReadOnly,
    );
    return this.upstreamTransaction;
  }
}
