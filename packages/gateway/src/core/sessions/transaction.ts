import type {Route} from '../configuration/index.js';
import {steadyNow} from '../time/index.js';
import type {InstanceReply} from '../upstream/index.js';
import type {PlacedTransaction} from './placed-transaction.js';
import type {ExecutionRequest} from './runnable-statement.js';
import type {StatementRunner} from './statement-runner.js';

/** A transaction of one session. It gets its place at its first statement. */
export class SessionTransaction {
  private placed: PlacedTransaction | undefined;
  private isWritten = false;

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
    readonly beganAtMs: number = steadyNow(),
  ) {}

  /** Whether a write was sent in it. */
  get hasWritten(): boolean {
    return this.isWritten;
  }

  /**
   * Runs a statement.
   *
   * @throws SapphiregladeError; the transaction cannot go on then.
   */
  async run(request: ExecutionRequest): Promise<InstanceReply> {
    const placed = await this.place(request);
    if (!request.statement.isRead) this.isWritten = true;
    return placed.run(request);
  }

  /**
   * Commits.
   *
   * @throws SapphiregladeError of kind `outcome-unknown` if the instance was
   *   asked and did not answer.
   */
  async commit(request: ExecutionRequest): Promise<InstanceReply> {
    const placed = await this.place(request);
    const reply = await placed.commit(request, this.isWritten);
    this.placed = undefined;
    return reply;
  }

  /** Ends the transaction without keeping anything. */
  rollBack(): void {
    this.placed?.rollBack();
    this.placed = undefined;
  }

  private async place(request: ExecutionRequest): Promise<PlacedTransaction> {
    this.placed ??= await this.runner.begin(
      {...request, startedAtMs: this.beganAtMs},
      this.isReadOnly,
    );
    return this.placed;
  }
}
