import {Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {ExecutionRequest, PlacedTransaction} from '../sessions/index.js';
import {StatementRunner} from '../sessions/index.js';
import type {InstanceReply} from '../upstream/index.js';
import {ELSEWHERE} from './elsewhere.js';

/** Runs statements for a group that this proxy owns, and asks other owners when it cannot. */
export class OwnedGroupRunner extends StatementRunner {
  /**
   * @param local - Runs statements on connections of this proxy.
   * @param remote - Runs statements at other owners.
   * @param hasOthers - Says whether another proxy owns a group.
   */
  constructor(
    private readonly local: StatementRunner,
    private readonly remote: StatementRunner,
    private readonly hasOthers: (group: string) => boolean,
  ) {
    super();
  }

  override run(request: ExecutionRequest): Promise<InstanceReply> {
    return this.attempt(request, runner => runner.run(request));
  }

  override begin(
    request: ExecutionRequest,
    isReadOnly: boolean,
  ): Promise<PlacedTransaction> {
    return this.attempt(request, runner => runner.begin(request, isReadOnly));
  }

  /** What surely did not run here may run elsewhere. */
  private async attempt<Result>(
    {route}: ExecutionRequest,
    work: (runner: StatementRunner) => Promise<Result>,
  ): Promise<Result> {
    try {
      return await work(this.local);
    } catch (error) {
      const mayGoOn =
        error instanceof SapphiregladeError &&
        error.outcome === Outcome.NotRun &&
        ELSEWHERE.has(error.kind) &&
        this.hasOthers(route.group);
      if (!mayGoOn) throw error;
      return work(this.remote);
    }
  }
}
