import {
  isPrimaryGivenUp,
  PrimaryPhase,
  rankNodes,
} from '@sapphireglade/decisions';
import {TaskLifecycle} from '@sapphireglade/runtime';
import type {DatabaseGroup} from '../groups/index.js';
import type {ViewLeaseTask} from '../membership/index.js';
import {KNOWN_PREFIX} from '../membership/index.js';
import {steadyNow} from '../time/index.js';
import {CommandKind} from '../upstream/index.js';
import type {ChangeContext} from './change-context.js';
import type {CoordinatorKey} from './coordinator-key.js';
import {COORDINATOR_KEY} from './coordinator-key.js';
import {ChangeReason, PrimaryChange} from './primary-change.js';
import {writeRecord} from './record-writer.js';

/** How often the coordinator looks at the groups, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Head start of each better-ranked candidate, in milliseconds. */
const RANK_DELAY_MS = 100;

/** How long a proxy may be away before it is taken as gone, in milliseconds; regions lose each other for an hour now and then. */
const FORGET_AFTER_MS = 2 * 3_600_000;

/** How long a claim that was not answered may yet be carried out, in milliseconds; stores execute lost calls seconds later. */
const UNANSWERED_CLAIM_MS = 10_000;

/** Most departed proxies that are removed by one call. */
const MAXIMUM_FORGOTTEN = 20;

/** What the task needs besides the context of a change. */
export interface CoordinatorTaskOptions {
  readonly context: Omit<ChangeContext, 'coordinatorRevision'>;
  readonly key: CoordinatorKey;
  /** The coordinator's key lives under this lease. */
  readonly lease: ViewLeaseTask;
  /** Identifies this start of this proxy. */
  readonly holder: string;
  /** Whether the store answers and the proxies' own keys are known. */
  readonly isConnected: () => boolean;
  /** Whether the newest state of the directory is known as well; only the coordinator follows it that closely. */
  readonly isInformed: () => boolean;
  /** Called while the coordinator does not know the newest state. */
  readonly onNewsNeeded: () => void;
}

/** Becomes the coordinator if there is none, and replaces primaries. */
export class CoordinatorTask extends TaskLifecycle {
  private timer: NodeJS.Timeout | undefined;
  private vacantSinceMs: number | undefined;
  private isClaiming = false;
  /** Until when an unanswered claim may take effect, in milliseconds of the steady clock. */
  private unansweredUntilMs = -Infinity;
  private isForgetting = false;
  private readonly changing = new Set<string>();
  private readonly context: ChangeContext;

  constructor(private readonly options: CoordinatorTaskOptions) {
    super('coordinator');
    this.context = {
      ...options.context,
      coordinatorRevision: () =>
        this.isCoordinator ? options.key.revision : 0,
    };
  }

  /** Whether this proxy coordinates. */
  get isCoordinator(): boolean {
    return this.options.key.holder === this.options.holder;
  }

  /** Whether this proxy coordinates, or may do so before it knows. */
  get mayCoordinate(): boolean {
    const isUnanswered = steadyNow() < this.unansweredUntilMs;
    return this.isCoordinator || this.isClaiming || isUnanswered;
  }

  protected override onStart(): Promise<void> {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    return Promise.resolve();
  }

  protected override async onStop(): Promise<void> {
    clearInterval(this.timer);
    this.options.context.control.closeAll();
    if (this.isCoordinator) await this.resign();
  }

  /** Lets another proxy coordinate without waiting for the lease to lapse. */
  private async resign(): Promise<void> {
    const {context, key} = this.options;
    try {
      await context.store.transact({
        conditions: [{key: COORDINATOR_KEY, revision: key.revision}],
        puts: [],
        removals: [COORDINATOR_KEY],
      });
    } catch (error) {
      context.log.warn('The coordinator key could not be removed.', {
        error: String(error),
      });
    }
  }

  private check(): void {
    if (!this.options.isConnected()) return;
    if (!this.isCoordinator) {
      this.options.context.control.closeAll();
      this.considerClaim();
      return;
    }
    if (!this.options.isInformed()) {
      this.options.onNewsNeeded();
      return;
    }
    const {groups, configuration} = this.options.context;
    for (const name of configuration.current?.groups.keys() ?? []) {
      this.inspect(groups.ensure(name));
    }
    this.forgetDeparted();
  }

  /** Removes proxies that have been away for longer than any partition. */
  private forgetDeparted(): void {
    const {members, knownProxies, store, log} = this.options.context;
    const limitMs = steadyNow() - FORGET_AFTER_MS;
    const gone = knownProxies.names.filter(name => {
      const departedAtMs = members.departedAtMs(name);
      return departedAtMs !== undefined && departedAtMs < limitMs;
    });
    if (gone.length === 0 || this.isForgetting) return;
    this.isForgetting = true;
    // One that is back by now has written its key anew.
    const conditions = gone.slice(0, MAXIMUM_FORGOTTEN).map(name => ({
      key: KNOWN_PREFIX + name,
      revision: knownProxies.revisionOf(name),
    }));
    store
      .transact({
        conditions,
        puts: [],
        removals: conditions.map(({key}) => key),
      })
      .catch((error: Error) =>
        log.warn('Departed proxies could not be forgotten.', {
          error: error.message,
        }),
      )
      .finally(() => {
        this.isForgetting = false;
      });
  }

  /** Better-ranked proxies claim first, so that few calls meet. */
  private considerClaim(): void {
    const {key, context} = this.options;
    if (key.holder !== undefined) {
      this.vacantSinceMs = undefined;
      return;
    }
    this.vacantSinceMs ??= steadyNow();
    // Only owners hold the lease under which the key lives.
    const names = context.members.names.filter(name =>
      context.knownProxies.has(name),
    );
    const rank = rankNodes(COORDINATOR_KEY, names).indexOf(context.self);
    const isTurn = steadyNow() - this.vacantSinceMs >= rank * RANK_DELAY_MS;
    if (rank >= 0 && isTurn && !this.isClaiming) void this.claim();
  }

  private async claim(): Promise<void> {
    const {context, holder, lease, key} = this.options;
    const {leaseId} = lease;
    if (leaseId === undefined) return;
    this.isClaiming = true;
    try {
      const result = await context.store.transact({
        conditions: [{key: COORDINATOR_KEY, revision: 0}],
        puts: [{key: COORDINATOR_KEY, value: holder, leaseId}],
      });
      if (result.kind === 'committed') {
        // The watch that tells of it may be late, or nobody may be asking.
        const {revision} = result;
        const value = Buffer.from(holder);
        key.written({key: COORDINATOR_KEY, value, revision, leaseId});
      }
      context.log.info('This proxy asked to coordinate.', {
        result: result.kind,
      });
    } catch (error) {
      this.unansweredUntilMs = steadyNow() + UNANSWERED_CLAIM_MS;
      context.log.warn('The coordinator key could not be written.', {
        error: String(error),
      });
    } finally {
      this.isClaiming = false;
    }
  }

  /** Looks whether a group needs another primary. */
  private inspect(group: DatabaseGroup): void {
    if (this.changing.has(group.name)) return;
    const declared = this.context.configuration.current;
    if (!declared?.groups.has(group.name)) return;
    const work = this.neededWork(group);
    if (work === undefined) return;
    this.changing.add(group.name);
    work()
      .catch((error: Error) =>
        this.context.log.warn('A change of primary was broken off.', {
          group: group.name,
          error: error.message,
        }),
      )
      .finally(() => this.changing.delete(group.name));
  }

  private neededWork(group: DatabaseGroup): (() => Promise<void>) | undefined {
    const known = group.storedRecord;
    if (known === undefined) return () => this.establish(group);
    if (known.record.phase === PrimaryPhase.Changing) {
      return this.change(group, ChangeReason.Unfinished);
    }
    if (this.isGivenUp(group, known.record.primary)) {
      return this.change(group, ChangeReason.Unusable);
    }
    const primary = this.context.directory.find(known.record.primary);
    if (primary?.isLeaving && this.hasSuccessor(group, primary.id)) {
      return this.change(group, ChangeReason.Leaving);
    }
    return undefined;
  }

  private change(
    group: DatabaseGroup,
    reason: ChangeReason,
  ): () => Promise<void> {
    return () => new PrimaryChange(this.context, group, reason).run();
  }

  private isGivenUp(group: DatabaseGroup, primary: string): boolean {
    const owners = this.context.ownersOf(group.name);
    const records = owners.flatMap(
      name => this.context.members.find(name) ?? [],
    );
    return isPrimaryGivenUp({
      members: records.length,
      suspecting: records.filter(({suspects}) => suspects.includes(group.name))
        .length,
      isGone: this.context.directory.find(primary) === undefined,
    });
  }

  private hasSuccessor(group: DatabaseGroup, leaving: string): boolean {
    return this.context.directory
      .ofGroup(group.name)
      .some(({id, isLeaving}) => id !== leaving && !isLeaving);
  }

  /** Records the primary of a group that has no record yet. */
  private async establish(group: DatabaseGroup): Promise<void> {
    const instances = this.context.directory.ofGroup(group.name);
    const reports = await Promise.all(
      instances.map(instance =>
        this.context.control.ask(instance, {kind: CommandKind.Status}),
      ),
    );
    const leaders = reports
      .filter(report => report !== undefined)
      .filter(({isPrimary}) => isPrimary)
      .sort((left, right) => right.term - left.term);
    const leader = leaders[0];
    const isComplete = reports.every(report => report !== undefined);
    if (leader === undefined || !isComplete) return;
    await writeRecord(this.context, group, {
      term: leader.term,
      primary: leader.id,
      phase: PrimaryPhase.Steady,
    });
  }
}
