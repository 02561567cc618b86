import {Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {ExecutionRequest, UpstreamTransaction} from '../sessions/index.js';
import {StatementRunner} from '../sessions/index.js';
import type {InstanceReply} from '../upstream/index.js';
import {RETRYABLE_OWNER_ERRORS, needsPrimary} from './owner-routing.js';

/** What the runner knows of the other owners. */
export interface OtherOwnerLookup {
  /** Whether another proxy owns a group. */
  readonly hasOtherOwner: (group: string) => boolean;
  /** Whether a group's primary is in another region, with an owner there. */
  readonly hasOwnerNearRemotePrimary: (group: string) => boolean;
}

/**
 * Runs statements for a group that this proxy owns, and asks other owners when
 * it cannot.
 *
 * Answers the pattern of few connections to a primary in another region: what
 * is sent to an owner there crosses the regions once, while the steps of a
 * transaction from here would cross them one by one and hold a connection
 * meanwhile. A transaction that was given to other owners stays with them.
 */
export class OwnedGroupRunner extends StatementRunner {
  /**
   * @param local - Runs statements on connections of this proxy.
   * @param remote - Runs statements at other owners.
   * @param others - What is known of them.
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

  /** What surely did not run at the first place may run at the other. */
  private async runWithFallback<Result>(
    {route}: ExecutionRequest,
    isForPrimary: boolean,
    work: (runner: StatementRunner) => Promise<Result>,
  ): Promise<Result> {
    const {group} = route;
    const isFar = isForPrimary && this.others.hasOwnerNearRemotePrimary(group);
    const first = isFar ? this.remote : this.local;
    const second = isFar ? this.local : this.remote;
    try {
      return await work(first);
    } catch (error) {
      const mayGoOn =
        error instanceof SapphiregladeError &&
        error.outcome === Outcome.NotRun &&
        RETRYABLE_OWNER_ERRORS.has(error.kind) &&
        this.others.hasOtherOwner(group);
      if (!mayGoOn) throw error;
      return work(second);
    }
  }
}
