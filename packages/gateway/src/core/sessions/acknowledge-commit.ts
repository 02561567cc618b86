import type {LogPosition} from '@sapphireglade/decisions';
import {
  CommitVerdict,
  commitVerdict,
  ErrorKind,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DatabaseGroup} from '../groups/index.js';
import {readClocks, steadyNowMs} from '../time/index.js';
import type {InstanceReply} from '../upstream/index.js';
import type {ExecutionTarget} from './instance-selection.js';
import {LateCommitLog} from './late-commit-log.js';
import type {ExecutionRequest} from './runnable-statement.js';

/** Interval at which the records are checked while a commit waits, in milliseconds. */
const POLL_INTERVAL_MS = 20;

/** A commit that a primary has answered. */
export interface AnsweredCommit {
  readonly group: DatabaseGroup;
  /** The instance that answered. */
  readonly target: Pick<ExecutionTarget, 'member'>;
  readonly reply: InstanceReply;
  readonly request: ExecutionRequest;
  /**
   * A position that the instance's log had reached before the commit was sent;
   * undefined if none is known or the commit may have written nothing.
   */
  readonly reachedBefore: LogPosition | undefined;
}

/**
 * Waits until a commit may be acknowledged to its caller.
 *
 * This is at once while the store confirms the view of the primary. If only
 * instances verify it, a replica that a change of primary asks has to have the
 * commit. Without a valid view, it may be confirmed again, or the record of the
 * next primary tells that the commit was kept.
 *
 * @param commit - The commit.
 * @param log - Receives a line if the answer came too late.
 * @throws SapphiregladeError of kind `outcome-unknown` if it may be dropped.
 */
export async function acknowledgeCommit(
  commit: AnsweredCommit,
  log: Logger,
): Promise<void> {
  const answeredAtMs = steadyNowMs();
  let verdict = verdictOn(commit);
  const {group, target, request, reply} = commit;
  if (verdict === CommitVerdict.Kept) return recordAcknowledged(commit);
  const {id} = target.member.instance;
  const lateCommitLog = new LateCommitLog(log);
  const isLate = lateCommitLog.record(request.statement, group, id, reply);
  while (
    verdict === CommitVerdict.Pending &&
    steadyNowMs() + POLL_INTERVAL_MS < request.deadlineMs
  ) {
    if (needsWitness(group)) await group.witness.refresh();
    else await sleep(POLL_INTERVAL_MS);
    verdict = verdictOn(commit);
  }
  if (isLate)
    log.info('The verdict on a late commit was given.', {
      request: request.statement.requestId,
      group: group.name,
      instance: id,
      verdict,
      waitedMs: Math.round(steadyNowMs() - answeredAtMs),
    });
  if (verdict === CommitVerdict.Kept) return recordAcknowledged(commit);
  throw new SapphiregladeError(
    ErrorKind.OutcomeUnknown,
    `The primary of group ${group.name} was taken out of use before the commit was acknowledged.`,
  );
}

function recordAcknowledged({
  group,
  reply,
  reachedBefore,
}: AnsweredCommit): void {
  group.acknowledged.record(reply.position, reachedBefore);
}

function verdictOn({group, target, reply}: AnsweredCommit): CommitVerdict {
  const now = readClocks();
  return commitVerdict({
    primary: target.member.instance.id,
    position: reply.position,
    record: group.record?.record,
    isViewValid:
      group.viewFreshness.isValid(now) &&
      (group.isConfirmedByStore(now) || group.witness.has(reply.position)),
    changingForMs: now.steadyMs - group.change.beganAtMs,
  });
}

/** Returns whether the view is valid, but only because instances have verified it. */
function needsWitness(group: DatabaseGroup): boolean {
  const now = readClocks();
  return group.viewFreshness.isValid(now) && !group.isConfirmedByStore(now);
}
