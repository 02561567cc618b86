import type {Logger} from '@sapphireglade/runtime';
import type {InstanceDirectory} from '../directory/index.js';
import {steadyNowMs, wholeMilliseconds} from '../time/index.js';
import type {ExecutionTarget} from './instance-selection.js';
import type {ExecutionRequest} from './runnable-statement.js';

/** Minimum interval between two lines about the same instance, in milliseconds. */
const INTERVAL_MS = 1_000;

/** Logs statements for instances that may have been leaving for too long. */
export class LateUseLog {
  private readonly loggedAtMs = new Map<string, number>();

  /**
   * @param directory - The instances, and when each was last known to stay.
   * @param leaveWithinMs - Returns the time within which a leaving instance must
   *   no longer receive new statements, in milliseconds.
   * @param log - Receives the lines.
   */
  constructor(
    private readonly directory: InstanceDirectory,
    private readonly leaveWithinMs: () => number,
    private readonly log: Logger,
  ) {}

  /** Records that a statement is sent to an instance. */
  record(
    {statement}: ExecutionRequest,
    {member, isPrimary}: ExecutionTarget,
  ): void {
    const {id, group} = member.instance;
    const stayedAgoMs = this.directory.stayedAgoMs(id);
    if (stayedAgoMs < this.leaveWithinMs()) return;
    const nowMs = steadyNowMs();
    if (nowMs - (this.loggedAtMs.get(id) ?? -Infinity) < INTERVAL_MS) return;
    this.loggedAtMs.set(id, nowMs);
    this.log.warn(
      'A statement is sent to an instance that may be leaving for too long.',
      {
        request: statement.requestId,
        group,
        instance: id,
        isPrimary,
        isLeaving: member.instance.isLeaving,
        stayedAgoMs: wholeMilliseconds(stayedAgoMs),
      },
    );
  }
}
