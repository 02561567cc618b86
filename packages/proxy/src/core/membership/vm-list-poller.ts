import {REPORT_INTERVAL_MS} from '@sapphireglade/decisions';
import {LogPart, PeriodicTask} from '@sapphireglade/runtime';
import type {ProxyContext} from '../context/index.js';
import type {VmDirectory} from '../vm-list/index.js';
import type {MembershipTracker} from './membership-tracker.js';

/** Periodically reads the platform's list of VMs. */
export class VmListPoller extends PeriodicTask {
  private isFailing = false;

  /**
   * @param context - The shared state of this process.
   * @param directory - Reads the platform's list of VMs.
   * @param members - Receives the list.
   * @param shouldPoll - Returns whether this proxy must read the list itself,
   *   because no other proxy sends it.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly directory: VmDirectory,
    private readonly members: MembershipTracker,
    private readonly shouldPoll: () => boolean,
  ) {
    super('vm-list-poller');
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
      .warn('The list of VMs could not be read; retrying.', {
        reason: error.message,
      });
  }
}
