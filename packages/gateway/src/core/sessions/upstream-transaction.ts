import type {InstanceReply} from '../upstream/index.js';
import type {ExecutionRequest} from './runnable-statement.js';

/** A transaction that has got its place at an instance. */
export abstract class UpstreamTransaction {
  /**
   * Runs a statement in it.
   *
   * @throws SapphiregladeError; the transaction cannot go on then.
   */
  abstract run(request: ExecutionRequest): Promise<InstanceReply>;

  /**
   * Commits it and gives its place back.
   *
   * @param request - The commit.
   * @param hasWritten - Whether a write was sent in it.
   * @throws SapphiregladeError of kind `outcome-unknown` if the instance was
   *   asked and did not answer.
   */
  abstract commit(
    request: ExecutionRequest,
    hasWritten: boolean,
  ): Promise<InstanceReply>;

  /** Ends it without keeping anything; does nothing if it has ended. */
  abstract rollBack(): void;
}
