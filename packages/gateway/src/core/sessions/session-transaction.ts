import type {Route} from '../configuration/index.js';
import {steadyNowMs} from '../time/index.js';
import type {InstanceReply} from '../upstream/index.js';
import type {UpstreamTransaction} from './upstream-transaction.js';
import type {ExecutionRequest} from './runnable-statement.js';
import type {StatementRunner} from './statement-runner.js';

/** A transaction of one session. It gets its place at its first statement. */
export class SessionTransaction {
  private upstreamTransaction: UpstreamTransaction | undefined;
  private wasWriteSent = false;

  /**
   * @param isReadOnly - Whether it only reads.
   * @param route - The route at its beginning; it holds to the end.
   * @param runner - Runs its statements.
   * @param beganAtMs - When it began, in milliseconds of the steady clock.
   */
  constructor(
    readonly isReadOnly: boolean,
    readonly route: Route,
    private readonly runner: StatementRunner,
    readonly beganAtMs: number = steadyNowMs(),
  ) {}

  /** Whether a write was sent in it. */
  get hasWritten(): boolean {
    return this.wasWriteSent;
  }

  /**
   * Runs a statement.
   *
   * @throws SapphiregladeError; the transaction cannot go on then.
   */
  async run(request: ExecutionRequest): Promise<InstanceReply> {
    const placed = await this.ensureBegun(request);
    if (!request.statement.isRead) this.wasWriteSent = true;
    return placed.run(request);
  }

  /**
   * Commits.
   *
   * @throws SapphiregladeError of kind `outcome-unknown` if the instance was
   *   asked and did not answer.
   */
  async commit(request: ExecutionRequest): Promise<InstanceReply> {
    const placed = await this.ensureBegun(request);
    const reply = await placed.commit(request, this.wasWriteSent);
    this.upstreamTransaction = undefined;
    return reply;
  }

  /** Ends the transaction without keeping anything. */
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
