import {Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {ExecutionRequest, UpstreamTransaction} from '../sessions/index.js';
import {StatementRunner} from '../sessions/index.js';
import type {InstanceReply} from '../upstream/index.js';
import {RETRYABLE_OWNER_ERRORS, needsPrimary} from './owner-routing.js';

/** Lookups of the other owners of a group. */
export interface OtherOwnerLookup {
  /** Returns whether another proxy owns a group. */
  readonly hasOtherOwner: (group: string) => boolean;
  /** Returns whether a group's primary is in another region that has an owner of the group. */
  readonly hasOwnerNearRemotePrimary: (group: string) => boolean;
}

/**
 * Runs statements for a group that this proxy owns, and forwards them to other
 * owners when it cannot run them.
 *
 * If the primary is in another region, few connections to it are available. A
 * request that is forwarded to an owner there crosses the regions once, while
 * each step of a transaction from here would cross them separately and hold a
 * connection in the meantime. A transaction that was forwarded to other owners
 * stays with them.
 */
export class OwnedGroupRunner extends StatementRunner {
  /**
   * @param local - Runs statements on connections of this proxy.
   * @param remote - Runs statements on other owners.
   * @param others - Lookups of the other owners.
   */
  constructor(
    private readonly local: StatementRunner,
    private readonly remote: StatementRunner,
    private readonly others: OtherOwnerLookup,
  ) {
    super();
  }

  override run(request: ExecutionRequest): Promise<InstanceReply> {
    const isForPrimary = needsPrimary(request, request.statement.isRead);
    return this.runWithFallback(request, isForPrimary, runner =>
      runner.run(request),
    );
  }

  override begin(
    request: ExecutionRequest,
    isReadOnly: boolean,
  ): Promise<UpstreamTransaction> {
    const isForPrimary = needsPrimary(request, isReadOnly);
    return this.runWithFallback(request, isForPrimary, runner =>
      runner.begin(request, isReadOnly),
    );
  }

  /** Runs an operation, and retries it on the other runner if it certainly did not run on the first. */
  private async runWithFallback<Result>(
    {route}: ExecutionRequest,
    isForPrimary: boolean,
    operation: (runner: StatementRunner) => Promise<Result>,
  ): Promise<Result> {
    const {group} = route;
    const isPrimaryRemote =
      isForPrimary && this.others.hasOwnerNearRemotePrimary(group);
    const preferred = isPrimaryRemote ? this.remote : this.local;
    const fallback = isPrimaryRemote ? this.local : this.remote;
    try {
      return await operation(preferred);
    } catch (error) {
      const canFallBack =
        error instanceof SapphiregladeError &&
        error.outcome === Outcome.NotRun &&
        RETRYABLE_OWNER_ERRORS.has(error.kind) &&
        this.others.hasOtherOwner(group);
      if (!canFallBack) throw error;
      return operation(fallback);
    }
  }
}
