import {
  shouldReplacePrimary,
  PrimaryPhase,
  rankNodes,
} from '@sapphireglade/decisions';
import {SupervisedTask} from '@sapphireglade/runtime';
import type {DatabaseGroup} from '../groups/index.js';
import type {ViewLeaseTask} from '../membership/index.js';
import {KNOWN_PROXY_PREFIX} from '../membership/index.js';
import {steadyNowMs} from '../time/index.js';
import {CommandKind} from '../upstream/index.js';
import type {PrimaryChangeContext} from './primary-change-context.js';
import type {CoordinatorKey} from './coordinator-key.js';
import {COORDINATOR_KEY} from './coordinator-key.js';
import {PrimaryChangeReason, PrimaryChange} from './primary-change.js';
import {writePrimaryRecord} from './write-primary-record.js';

/** How often the coordinator looks at the groups, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Head start of each better-ranked candidate, in milliseconds. */
const CLAIM_DELAY_PER_RANK_MS = 100;

/** How long a proxy may be away before it is taken as gone, in milliseconds; regions lose each other for an hour now and then. */
const REMOVE_DEPARTED_AFTER_MS = 2 * 3_600_000;

/** How long a claim that was not answered may yet be carried out, in milliseconds; stores execute lost calls seconds later. */
const CLAIM_PENDING_MS = 10_000;

/** Most departed proxies that are removed by one call. */
const MAXIMUM_REMOVALS_PER_CALL = 20;

/** What the task needs besides the context of a change. */
export interface CoordinatorTaskOptions {
  readonly context: Omit<PrimaryChangeContext, 'coordinatorRevision'>;
  readonly key: CoordinatorKey;
  /** The coordinator's key lives under this lease. */
  readonly lease: ViewLeaseTask;
  /** Identifies this start of this proxy. */
  readonly holder: string;
  /** Whether the store answers and the proxies' own keys are known. */
  readonly isConnected: () => boolean;
  /** Whether the newest state of the directory is known as well; only the coordinator follows it that closely. */
  readonly isUpToDate: () => boolean;
  /** Called while the coordinator does not know the newest state. */
  readonly onRefreshNeeded: () => void;
}

/** Becomes the coordinator if there is none, and replaces primaries. */
export class CoordinatorTask extends SupervisedTask {
  private timer: NodeJS.Timeout | undefined;
  private vacantSinceMs: number | undefined;
  private isClaiming = false;
  /** Until when an unanswered claim may take effect, in milliseconds of the steady clock. */
  private claimPendingUntilMs = -Infinity;
  private isRemovingDeparted = false;
  private readonly changing = new Set<string>();
  private readonly context: PrimaryChangeContext;

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
    const isUnanswered = steadyNowMs() < this.claimPendingUntilMs;
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
      this.claimIfVacant();
      return;
    }
    if (!this.options.isUpToDate()) {
      this.options.onRefreshNeeded();
      return;
    }
    const {groups, configuration} = this.options.context;
    for (const name of configuration.current?.groups.keys() ?? []) {
      this.checkGroup(groups.getOrCreate(name));
    }
    this.removeDepartedProxies();
  }

  /** Removes proxies that have been away for longer than any partition. */
  private removeDepartedProxies(): void {
    const {members, knownProxies, store, log} = this.options.context;
    const limitMs = steadyNowMs() - REMOVE_DEPARTED_AFTER_MS;
    const gone = knownProxies.names.filter(name => {
      const departedAtMs = members.departedAtMs(name);
      return departedAtMs !== undefined && departedAtMs < limitMs;
    });
    if (gone.length === 0 || this.isRemovingDeparted) return;
    this.isRemovingDeparted = true;
    // One that is back by now has written its key anew.
    const conditions = gone.slice(0, MAXIMUM_REMOVALS_PER_CALL).map(name => ({
      key: KNOWN_PROXY_PREFIX + name,
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
        this.isRemovingDeparted = false;
      });
  }

  /** Better-ranked proxies claim first, so that few calls meet. */
  private claimIfVacant(): void {
    const {key, context} = this.options;
    if (key.holder !== undefined) {
      this.vacantSinceMs = undefined;
      return;
    }
    this.vacantSinceMs ??= steadyNowMs();
    // Only owners hold the lease under which the key lives.
    const names = context.members.names.filter(name =>
      context.knownProxies.has(name),
    );
    const rank = rankNodes(COORDINATOR_KEY, names).indexOf(context.self);
    const isTurn =
      steadyNowMs() - this.vacantSinceMs >= rank * CLAIM_DELAY_PER_RANK_MS;
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
        key.onPut({key: COORDINATOR_KEY, value, revision, leaseId});
      }
      context.log.info('This proxy asked to coordinate.', {
        result: result.kind,
      });
    } catch (error) {
      this.claimPendingUntilMs = steadyNowMs() + CLAIM_PENDING_MS;
      context.log.warn('The coordinator key could not be written.', {
        error: String(error),
      });
    } finally {
      this.isClaiming = false;
    }
  }

  /** Looks whether a group needs another primary. */
  private checkGroup(group: DatabaseGroup): void {
    if (this.changing.has(group.name)) return;
    const declared = this.context.configuration.current;
    if (!declared?.groups.has(group.name)) return;
    const work = this.requiredAction(group);
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

  private requiredAction(
    group: DatabaseGroup,
  ): (() => Promise<void>) | undefined {
    const known = group.storedRecord;
    if (known === undefined) return () => this.recordInitialPrimary(group);
    if (known.record.phase === PrimaryPhase.Changing) {
      return this.change(group, PrimaryChangeReason.Unfinished);
    }
    if (this.isPrimaryFailed(group, known.record.primary)) {
      return this.change(group, PrimaryChangeReason.Unusable);
    }
    const primary = this.context.directory.find(known.record.primary);
    if (primary?.isLeaving && this.hasSuccessor(group, primary.id)) {
      return this.change(group, PrimaryChangeReason.Leaving);
    }
    return undefined;
  }

  private change(
    group: DatabaseGroup,
    reason: PrimaryChangeReason,
  ): () => Promise<void> {
    return () => new PrimaryChange(this.context, group, reason).run();
  }

  private isPrimaryFailed(group: DatabaseGroup, primary: string): boolean {
    const owners = this.context.ownersOf(group.name);
    const records = owners.flatMap(
      name => this.context.members.find(name) ?? [],
    );
    return shouldReplacePrimary({
      members: records.length,
      suspectingMembers: records.filter(({suspects}) =>
        suspects.includes(group.name),
      ).length,
      isPrimaryRemoved: this.context.directory.find(primary) === undefined,
    });
  }

  private hasSuccessor(group: DatabaseGroup, leaving: string): boolean {
    return this.context.directory
      .findByGroup(group.name)
      .some(({id, isLeaving}) => id !== leaving && !isLeaving);
  }

  /** Records the primary of a group that has no record yet. */
  private async recordInitialPrimary(group: DatabaseGroup): Promise<void> {
    const instances = this.context.directory.findByGroup(group.name);
    const reports = await Promise.all(
      instances.map(instance =>
        this.context.control.sendCommand(instance, {kind: CommandKind.Status}),
      ),
    );
    const leaders = reports
      .filter(report => report !== undefined)
      .filter(({isPrimary}) => isPrimary)
      .sort((left, right) => right.term - left.term);
    const leader = leaders[0];
    const isComplete = reports.every(report => report !== undefined);
    if (leader === undefined || !isComplete) return;
    await writePrimaryRecord(this.context, group, {
      term: leader.term,
      primary: leader.id,
      phase: PrimaryPhase.Steady,
    });
  }
}
