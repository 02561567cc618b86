import type {PrimaryRecord} from '@sapphireglade/decisions';
import {
  shouldReplacePrimary,
  tallySuspicions,
  PrimaryPhase,
  rankNodes,
} from '@sapphireglade/decisions';
import {SupervisedTask} from '@sapphireglade/runtime';
import type {DatabaseGroup} from '../groups/index.js';
import {isOutdated} from '../groups/index.js';
import type {ViewLeaseTask} from '../membership/index.js';
import {KNOWN_PROXY_PREFIX} from '../membership/index.js';
import {steadyNowMs} from '../time/index.js';
import type {PrimaryChangeContext} from './primary-change-context.js';
import type {CoordinatorKey} from './coordinator-key.js';
import {COORDINATOR_KEY_PREFIX} from './coordinator-key.js';
import {LeavingReplicas} from './leaving-replicas.js';
import {PrimaryChangeReason, PrimaryChange} from './primary-change.js';
import {areConfirmersOutdated, recordConfirmers} from './record-confirmers.js';
import {RecordRecovery} from './record-recovery.js';

/** Interval between two checks of the groups, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/**
 * Delay per rank before a candidate claims the vacant coordinator role, in
 * milliseconds.
 */
const CLAIM_DELAY_PER_RANK_MS = 100;

/**
 * Time after which a departed proxy is removed from the list of known proxies,
 * in milliseconds; regions lose connectivity to each other for an hour now and
 * then.
 */
const REMOVE_DEPARTED_AFTER_MS = 2 * 3_600_000;

/**
 * How long the store may still execute a claim that got no response, in
 * milliseconds; stores execute lost calls seconds later.
 */
const CLAIM_PENDING_MS = 10_000;

/** Maximum number of departed proxies that one transaction removes. */
const MAXIMUM_REMOVALS_PER_CALL = 20;

/**
 * Options of the coordinator task, in addition to the context of a primary
 * change.
 */
export interface CoordinatorTaskOptions {
  readonly context: Omit<
    PrimaryChangeContext,
    | 'coordinatorRevision'
    | 'coordinatorForMs'
    | 'isDirectoryCurrent'
    | 'refreshDirectory'
  >;
  readonly key: CoordinatorKey;
  /** The lease to which the coordinator key is attached. */
  readonly lease: ViewLeaseTask;
  /** Name and incarnation of this proxy. */
  readonly holder: string;
  /** Whether the store responds and the keys written by proxies are in sync. */
  readonly isConnected: () => boolean;
  /**
   * Whether the directory is in sync as well, by a response that was requested
   * after a time of the steady clock, in milliseconds. Before a proxy is the
   * coordinator, it does not follow the directory that closely.
   */
  readonly isUpToDate: (sinceMs: number) => boolean;
  /** Called while the coordinator's state is out of date. */
  readonly onRefreshNeeded: () => void;
}

/**
 * Claims the coordinator role if it is vacant, and replaces failed or leaving
 * primaries.
 */
export class CoordinatorTask extends SupervisedTask {
  private timer: NodeJS.Timeout | undefined;
  private vacantSinceMs: number | undefined;
  private coordinatorSinceMs: number | undefined;
  private isClaiming = false;
  /**
   * Time until which a claim without a response may still take effect, in
   * milliseconds of the steady clock.
   */
  private claimPendingUntilMs = -Infinity;
  private isRemovingDeparted = false;
  private readonly changing = new Set<string>();
  private readonly context: PrimaryChangeContext;
  private readonly recordRecovery: RecordRecovery;
  private readonly leavingReplicas: LeavingReplicas;

  constructor(private readonly options: CoordinatorTaskOptions) {
    super('coordinator');
    this.context = {
      ...options.context,
      coordinatorRevision: () =>
        this.isCoordinator ? options.key.revision : 0,
      coordinatorForMs: () =>
        this.coordinatorSinceMs === undefined
          ? undefined
          : steadyNowMs() - this.coordinatorSinceMs,
      isDirectoryCurrent: options.isUpToDate,
      refreshDirectory: options.onRefreshNeeded,
    };
    this.recordRecovery = new RecordRecovery(this.context);
    this.leavingReplicas = new LeavingReplicas(this.context);
  }

  /** Whether this proxy is the coordinator. */
  get isCoordinator(): boolean {
    return this.options.key.holder === this.options.holder;
  }

  /**
   * Whether this proxy is the coordinator, or may become it by a claim whose
   * result is unknown.
   */
  get mayCoordinate(): boolean {
    const isClaimPending = steadyNowMs() < this.claimPendingUntilMs;
    return this.isCoordinator || this.isClaiming || isClaimPending;
  }

  /**
   * Gives up the role, if this proxy has it. The store may execute that without an
   * answer; the condition on the revision keeps it from ending a later role.
   */
  async giveUpRole(): Promise<void> {
    if (this.isCoordinator) await this.resign();
  }

  protected override onStart(): Promise<void> {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    return Promise.resolve();
  }

  protected override async onStop(): Promise<void> {
    clearInterval(this.timer);
    this.options.context.control.closeAll();
    await this.giveUpRole();
  }

  /**
   * Removes the coordinator key, so that another proxy can claim it before the
   * lease expires.
   */
  private async resign(): Promise<void> {
    const {context, key} = this.options;
    try {
      await context.store.transact({
        conditions: [{key: key.key, revision: key.revision}],
        puts: [],
        removals: [key.key],
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
      this.leavingReplicas.observeRole();
      this.options.context.control.closeAll();
      this.coordinatorSinceMs = undefined;
      this.claimIfVacant();
      return;
    }
    this.coordinatorSinceMs ??= steadyNowMs();
    if (!this.options.isUpToDate(this.coordinatorSinceMs)) {
      this.options.onRefreshNeeded();
      return;
    }
    const {groups, configuration} = this.options.context;
    for (const name of configuration.current?.groups.keys() ?? []) {
      const group = groups.getOrCreate(name);
      this.checkGroup(group);
      void this.context.departures.boundDepartures(group);
      if (!this.changing.has(name)) void this.leavingReplicas.update(group);
    }
    this.removeDepartedProxies();
  }

  /**
   * Removes the keys of proxies that have been absent for longer than any
   * expected partition.
   */
  private removeDepartedProxies(): void {
    const {members, knownProxies, store, log} = this.options.context;
    const departedBeforeMs = steadyNowMs() - REMOVE_DEPARTED_AFTER_MS;
    const departed = knownProxies.names.filter(name => {
      const departedAtMs = members.departedAtMs(name);
      return departedAtMs !== undefined && departedAtMs < departedBeforeMs;
    });
    if (departed.length === 0 || this.isRemovingDeparted) return;
    this.isRemovingDeparted = true;
    // If a proxy has returned, it has rewritten its key, and the condition on
    // the revision fails.
    const conditions = departed
      .slice(0, MAXIMUM_REMOVALS_PER_CALL)
      .map(name => ({
        key: KNOWN_PROXY_PREFIX + name,
        revision: knownProxies.revisionOf(name),
      }));
    const {key} = this.options;
    store
      .transact({
        conditions: [...conditions, {key: key.key, revision: key.revision}],
        puts: [],
        removals: conditions.map(({key}) => key),
      })
      .catch((error: Error) =>
        log.warn('Departed proxies could not be removed from the store.', {
          error: error.message,
        }),
      )
      .finally(() => {
        this.isRemovingDeparted = false;
      });
  }

  /** Claims the vacant role, in order of rank, so that few claims collide. */
  private claimIfVacant(): void {
    const {key, context} = this.options;
    if (key.holder !== undefined) {
      this.vacantSinceMs = undefined;
      return;
    }
    this.vacantSinceMs ??= steadyNowMs();
    // Only proxies with a published view lease can claim, because the
    // coordinator key is attached to it.
    const names = context.members.names.filter(name =>
      context.knownProxies.has(name),
    );
    const rank = rankNodes(COORDINATOR_KEY_PREFIX, names).indexOf(context.self);
    const isTurn =
      steadyNowMs() - this.vacantSinceMs >= rank * CLAIM_DELAY_PER_RANK_MS;
    if (rank >= 0 && isTurn && !this.isClaiming) void this.claim();
  }

  private async claim(): Promise<void> {
    const {context, holder, lease, key} = this.options;
    const {leaseId} = lease;
    if (leaseId === undefined) return;
    const claimed = key.key;
    this.isClaiming = true;
    try {
      const result = await context.store.transact({
        conditions: [{key: claimed, revision: 0}],
        puts: [{key: claimed, value: holder, leaseId}],
        // Ends what coordinators from before a restore may still have under way.
        removals: key.outdatedKeys,
      });
      if (result.kind === 'committed') {
        // The watch event may arrive late, or no watch may be running.
        const {revision} = result;
        const value = Buffer.from(holder);
        key.onPut({key: claimed, value, revision, leaseId});
      }
      context.log.info('This proxy claimed the coordinator role.', {
        result: result.kind,
        generation: context.store.generation,
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

  /** Starts the action that a group requires, if any and if none is running. */
  private checkGroup(group: DatabaseGroup): void {
    if (this.changing.has(group.name)) return;
    const configuration = this.context.configuration.current;
    if (!configuration?.groups.has(group.name)) return;
    const action = this.requiredAction(group);
    if (action === undefined) return;
    this.changing.add(group.name);
    action()
      .catch((error: Error) =>
        this.context.log.warn('A change of primary was aborted.', {
          group: group.name,
          error: error.message,
        }),
      )
      .finally(() => this.changing.delete(group.name));
  }

  private requiredAction(
    group: DatabaseGroup,
  ): (() => Promise<void>) | undefined {
    const stored = group.storedRecord;
    if (stored === undefined || isOutdated(stored))
      return () => this.recordRecovery.run(group);
    if (stored.record.phase === PrimaryPhase.Changing) {
      return this.change(group, PrimaryChangeReason.Unfinished);
    }
    if (this.isPrimaryFailed(group.name, stored.record)) {
      return this.change(group, PrimaryChangeReason.Unusable);
    }
    const primary = this.context.directory.find(stored.record.primary);
    if (primary?.isLeaving && this.hasSuccessor(group, primary.id)) {
      return this.change(group, PrimaryChangeReason.Leaving);
    }
    if (areConfirmersOutdated(this.context, group)) {
      return () => recordConfirmers(this.context, group);
    }
    return undefined;
  }

  private change(
    group: DatabaseGroup,
    reason: PrimaryChangeReason,
  ): () => Promise<void> {
    return () => new PrimaryChange(this.context, group, reason).run();
  }

  private isPrimaryFailed(
    group: string,
    {primary, term}: PrimaryRecord,
  ): boolean {
    const owners = this.context.ownersOf(group);
    const records = owners.flatMap(
      name => this.context.members.find(name) ?? [],
    );
    return shouldReplacePrimary({
      ...tallySuspicions(group, term, records),
      isPrimaryRemoved: this.context.directory.find(primary) === undefined,
    });
  }

  private hasSuccessor(group: DatabaseGroup, leaving: string): boolean {
    return this.context.directory
      .findByGroup(group.name)
      .some(({id, isLeaving}) => id !== leaving && !isLeaving);
  }
}
