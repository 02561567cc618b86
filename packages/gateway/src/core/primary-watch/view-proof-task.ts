import {PrimaryPhase} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {TaskLifecycle} from '@sapphireglade/runtime';
import type {
  DatabaseGroup,
  GroupMember,
  GroupRegistry,
} from '../groups/index.js';
import {readClocks, TIMED_OUT, within} from '../time/index.js';
import type {InstanceReply} from '../upstream/index.js';
import {CommandKind} from '../upstream/index.js';

/** How often the age of the views is looked at, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Age of a view after which replicas are asked, in milliseconds; longer than two answers of a store that works take. */
const ASK_AFTER_MS = 750;

/** How long a replica may take to answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 400;

/**
 * Proves views of primaries by asking replicas while the store is away.
 *
 * A change of primary holds every replica at a higher term before it promotes
 * one. A replica that was not held when it was asked therefore proves that no
 * change had been completed by then. Its connection must be older than the
 * last proof, because a replica that starts again forgets what held it.
 */
export class ViewProofTask extends TaskLifecycle {
  private timer: NodeJS.Timeout | undefined;
  private readonly asking = new Set<DatabaseGroup>();
  private isReported = false;

  constructor(
    private readonly groups: GroupRegistry,
    private readonly region: string,
    private readonly regionOf: (zone: string) => string,
    private readonly log: Logger,
  ) {
    super('view-proof');
  }

  protected override onStart(): Promise<void> {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    return Promise.resolve();
  }

  protected override onStop(): Promise<void> {
    clearInterval(this.timer);
    return Promise.resolve();
  }

  private check(): void {
    const now = readClocks();
    let isAnyOld = false;
    for (const group of this.groups.all) {
      if (group.confirmation.ageMs(now) < ASK_AFTER_MS) continue;
      if (group.record?.record.phase !== PrimaryPhase.Steady) continue;
      isAnyOld = true;
      if (!this.asking.has(group)) void this.prove(group);
    }
    this.report(isAnyOld);
  }

  private report(isAnyOld: boolean): void {
    if (isAnyOld === this.isReported) return;
    this.isReported = isAnyOld;
    this.log.warn(
      isAnyOld
        ? 'The store does not confirm the primaries; replicas are asked.'
        : 'The store confirms the primaries again.',
    );
  }

  private async prove(group: DatabaseGroup): Promise<void> {
    this.asking.add(group);
    try {
      for (const member of this.replicasOf(group)) {
        if (await this.askMember(group, member)) return;
      }
    } finally {
      this.asking.delete(group);
    }
  }

  /** Replicas of this region first, because the others cost paid bytes. */
  private replicasOf(group: DatabaseGroup): GroupMember[] {
    const isFar = ({instance}: GroupMember): number =>
      Number(this.regionOf(instance.availabilityZone) !== this.region);
    return [...group.members.values()]
      .filter(({instance}) => instance.id !== group.record?.record.primary)
      .sort((left, right) => isFar(left) - isFar(right));
  }

  private async askMember(
    group: DatabaseGroup,
    {pool}: GroupMember,
  ): Promise<boolean> {
    const connection = pool.tryAcquire();
    if (connection === undefined) return false;
    const known = group.record;
    const sentAt = readClocks();
    const isOldEnough = group.confirmation.coversOpening(connection.openedAtMs);
    const reply = await within(
      connection.run({kind: CommandKind.Status}),
      ANSWER_TIMEOUT_MS,
    ).catch((error: Error) => error);
    if (reply === TIMED_OUT || reply instanceof Error) {
      pool.discard(connection, 'it did not answer');
      return false;
    }
    pool.release(connection);
    const isProof =
      isOldEnough &&
      group.record === known &&
      provesTerm(reply, known?.record.term);
    if (isProof) group.confirm(sentAt);
    return isProof;
  }
}

/** Says whether a replica's answer proves that no higher term has begun. */
function provesTerm(reply: InstanceReply, term: number | undefined): boolean {
  const {report} = reply;
  if (report === undefined || term === undefined) return false;
  return !report.isPrimary && report.heldTerm <= term && report.term <= term;
}
