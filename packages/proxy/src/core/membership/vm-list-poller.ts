import {REPORT_INTERVAL_MS} from '@sapphireglade/decisions';
import {LogPart, PeriodicTask} from '@sapphireglade/runtime';
import type {ProxyContext} from '../context/index.js';
import type {VmDirectory} from '../vm-list/index.js';
import type {MembershipTracker} from './membership-tracker.js';

/** Reads the platform's list of VMs again and again. */
export class VmListPoller extends PeriodicTask {
  private isFailing = false;

  /**
   * @param context - What every task may use.
   * @param directory - The platform's list.
   * @param members - Takes the list.
   * @param shouldPoll - Whether no other proxy passes the list on to this one.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly directory: VmDirectory,
    private readonly members: MembershipTracker,
    private readonly shouldPoll: () => boolean,
  ) {
    super('list-poller');
  }

  protected async runOnce(): Promise<number> {
    if (!this.shouldPoll()) return REPORT_INTERVAL_MS;
    try {
      const {vms} = await this.directory.list();
      this.isFailing = false;
      if (!this.isStopRequested) this.members.applyVmList(vms);
    } catch (error) {
      this.onFailure(error as Error);
    }
    return REPORT_INTERVAL_MS / 2 + (REPORT_INTERVAL_MS / 2) * Math.random();
  }

  private onFailure(error: Error): void {
    if (this.isFailing) return;
    this.isFailing = true;
    this.context
      .logs(LogPart.Membership)
      .warn('The list of VMs could not be read.', {reason: error.message});
  }
}
