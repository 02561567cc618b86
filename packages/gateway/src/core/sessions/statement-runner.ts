import type {InstanceReply} from '../upstream/index.js';
import type {UpstreamTransaction} from './upstream-transaction.js';
import type {ExecutionRequest} from './runnable-statement.js';

/** Runs the statements of sessions; where is what varies. */
export abstract class StatementRunner {
  /**
   * Runs a statement outside of a transaction.
   *
   * @throws SapphiregladeError whose outcome says whether it may have run.
   */
  abstract run(request: ExecutionRequest): Promise<InstanceReply>;

  /**
   * Begins a transaction where its first statement can run.
   *
   * @param request - The first statement; it is not run yet.
   * @param isReadOnly - Whether the transaction only reads.
   * @throws SapphiregladeError whose outcome is `not run`.
   */
  abstract begin(
    request: ExecutionRequest,
    isReadOnly: boolean,
  ): Promise<UpstreamTransaction>;
}
