import type {InstanceReply} from '../upstream/index.js';
import type {UpstreamTransaction} from './upstream-transaction.js';
import type {ExecutionRequest} from './runnable-statement.js';

/** Runs statements of sessions, either on this proxy's connections or through an owner. */
export abstract class StatementRunner {
  /**
   * Runs a statement outside a transaction.
   *
   * @throws SapphiregladeError whose outcome states whether the statement may have run.
   */
  abstract run(request: ExecutionRequest): Promise<InstanceReply>;

  /**
   * Begins a transaction on an instance that can run its first statement.
   *
   * @param request - The first statement, which this call does not run.
   * @param isReadOnly - Whether the transaction is read-only.
   * @throws SapphiregladeError whose outcome is `not run`.
   */
  abstract begin(
    request: ExecutionRequest,
    isReadOnly: boolean,
  ): Promise<UpstreamTransaction>;
}
