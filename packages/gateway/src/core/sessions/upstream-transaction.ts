import type {InstanceReply} from '../upstream/index.js';
import type {ExecutionRequest} from './runnable-statement.js';

/** A transaction that has begun on an instance. */
export abstract class UpstreamTransaction {
  /**
   * Runs a statement in the transaction.
   *
   * @throws SapphiregladeError, after which the transaction cannot continue.
   */
  abstract run(request: ExecutionRequest): Promise<InstanceReply>;

  /**
   * Commits the transaction and releases its connection.
   *
   * @param request - The commit.
   * @param hasWritten - Whether a write was sent in the transaction.
   * @throws SapphiregladeError of kind `outcome-unknown` if the commit was sent
   *   to the instance and not answered.
   */
  abstract commit(
    request: ExecutionRequest,
    hasWritten: boolean,
  ): Promise<InstanceReply>;

  /** Rolls the transaction back; does nothing if it has ended. */
  abstract rollBack(): void;
}
