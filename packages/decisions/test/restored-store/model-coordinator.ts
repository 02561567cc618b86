import type {
  LogPosition,
  PrimaryRecord,
  RecordRecovery,
  RecordRecoveryInputs,
} from '../../src/index.js';
import {
  GenerationChange,
  PrimaryPhase,
  replicasToHold,
  StoreGenerations,
} from '../../src/index.js';
import {ModelChange} from './model-change.js';
import type {ModelGroup, ModelInstance} from './model-group.js';
import {ORDER_LIFETIME} from './model-group.js';
import type {Claim, ModelStore, StoredRecord} from './model-store.js';

/** How long a token may be used after it was written, in model time. */
export const TOKEN_VALIDITY = 8;

/** How long a new coordinator lets a restored store settle, in model time. */
const SETTLE_TIME = 25;

/** How long a coordinator waits for a promotion, in model time. */
const PROMOTION_TIMEOUT = 40;

/** Milliseconds of one unit of model time. */
const UNIT_MS = 100;

/** The decisions on which a process of the model relies. */
export interface Rules {
  readonly decide: (inputs: RecordRecoveryInputs) => RecordRecovery;
  readonly tokenOf: (generation: number, revision: number) => number;
  readonly coordinatorKeyOf: (generation: number) => string;
  /** Whether a record counts that was written in a generation. */
  readonly isCurrent: (written: number, generation: number) => boolean;
}

/** What the coordinators of a history have done. */
export interface CoordinatorCounts {
  confirmed: number;
  /** Records that were written again although a leaving replica was held. */
  confirmedDespiteHold: number;
  /** Changes that began with a record of an earlier generation. */
  changedAfterRestore: number;
  /** Such changes that ended. */
  promotedAfterRestore: number;
  waited: number;
}

/** The environment of a coordinator. */
export interface CoordinatorContext {
  readonly store: ModelStore;
  readonly group: ModelGroup;
  readonly rules: Rules;
  readonly counts: CoordinatorCounts;
}

/** A process that replaces primaries while it has the role, one step at a time. */
export class ModelCoordinator {
  private readonly generations = new StoreGenerations();
  private claim: Claim | undefined;
  /** Newest record that was read in the current generation. */
  private known: StoredRecord | undefined;
  /** Newest record of earlier generations. */
  private remembered: PrimaryRecord | undefined;
  private change: ModelChange | undefined;
  /** Whether the change began with a record of an earlier generation. */
  private isRecovering = false;
  private generationSince = 0;
  private recoverySince: number | undefined;

  constructor(
    private readonly name: string,
    private readonly context: CoordinatorContext,
  ) {}

  /**
   * Takes the next step.
   *
   * @param reachable - The instances that can be reached.
   * @param replacesPrimary - Whether the primary of a steady group is replaced.
   * @param now - The model time.
   */
  act(
    reachable: readonly ModelInstance[],
    replacesPrimary: boolean,
    now: number,
  ): void {
    if (this.change !== undefined) {
      this.continueChange(this.change, reachable, now);
      return;
    }
    this.readStore(now);
    if (this.claim === undefined) {
      this.claimRole(now);
      return;
    }
    const {known} = this;
    if (known === undefined) return;
    const generation = this.generations.current!;
    if (!this.context.rules.isCurrent(known.generation, generation)) {
      this.recoverRecord(reachable, now);
    } else if (known.record.phase === PrimaryPhase.Changing) {
      if (!this.adoptPrimary(known.record, reachable, now)) {
        this.change = new ModelChange(this.context.group, known.record);
      }
    } else if (replacesPrimary) {
      this.change = new ModelChange(this.context.group, known.record);
    } else {
      this.boundDepartures(known.record, reachable);
      this.holdLeavingReplicas(known.record, reachable);
    }
  }

  private readStore(now: number): void {
    this.observe(this.context.store.generation, now);
    this.known = this.context.store.record;
  }

  /** Stops whatever was under way if the store was restored. */
  private observe(generation: number, now: number): void {
    const change = this.generations.observe(generation);
    if (change === GenerationChange.Unchanged) return;
    this.generationSince = now;
    this.remembered = this.known?.record ?? this.remembered;
    this.known = undefined;
    this.giveUp();
  }

  private giveUp(): void {
    this.claim = undefined;
    this.change = undefined;
    this.recoverySince = undefined;
    this.isRecovering = false;
  }

  private claimRole(now: number): void {
    const {rules, store} = this.context;
    const key = rules.coordinatorKeyOf(store.generation);
    this.claim = store.claim(this.name, key, now);
  }

  /** Writes the record; a refused or lost write ends the role. */
  private write(record: PrimaryRecord, now: number): StoredRecord | undefined {
    const {claim, known, generations} = this;
    const generation = generations.current!;
    const {store} = this.context;
    const replaces = known!.revision;
    const request = {claim: claim!, replaces, record, generation};
    const revision = store.write(request, now);
    this.observe(store.generation, now);
    if (store.generation !== generation) return undefined;
    if (revision === undefined) {
      this.giveUp();
      return undefined;
    }
    this.known = {record, generation, revision};
    return this.known;
  }

  private recoverRecord(
    reachable: readonly ModelInstance[],
    now: number,
  ): void {
    if (now - this.generationSince < SETTLE_TIME) return;
    this.recoverySince ??= now;
    const decided = this.context.rules.decide({
      restored: this.known?.record,
      remembered: this.remembered,
      instances: this.context.group.instances.map(each => ({
        id: each.id,
        isLeaving: each.isLeaving,
        report: reachable.includes(each)
          ? this.context.group.report(each)
          : undefined,
        mayHaveLostHold: now - each.startedAt <= ORDER_LIFETIME,
      })),
      waitedMs: (now - this.recoverySince) * UNIT_MS,
      orderPendingMs: ORDER_LIFETIME * UNIT_MS,
    });
    const {counts, group} = this.context;
    switch (decided.kind) {
      case 'wait':
        counts.waited += 1;
        return;
      case 'confirm':
        counts.confirmed += 1;
        if (reachable.some(each => each.heldTerm > decided.leader.term))
          counts.confirmedDespiteHold += 1;
        this.write(steadyRecord(decided.leader, decided.initialPosition), now);
        return;
      case 'change':
        counts.changedAfterRestore += 1;
        this.change = new ModelChange(group, decided.record);
        this.isRecovering = true;
    }
  }

  private continueChange(
    change: ModelChange,
    reachable: readonly ModelInstance[],
    now: number,
  ): void {
    switch (change.step) {
      case 'announce':
        if (this.write(this.recordOf(change), now) === undefined) return;
        change.announcedAt = now;
        change.step = 'hold';
        return;
      case 'hold':
        change.hold(reachable, now);
        this.recordTarget(change, now);
        return;
      case 'order':
        this.order(change, now);
        return;
      case 'await':
        this.awaitPromotion(change, reachable, now);
        return;
    }
  }

  private recordTarget(change: ModelChange, now: number): void {
    const chosen = change.choose(now);
    if (chosen === undefined) return;
    const orders = change.orders + 1;
    const {target, position: lastPosition} = chosen;
    const record = {...this.recordOf(change), orders, target, lastPosition};
    if (this.write(record, now) === undefined) return;
    change.chosen = chosen;
    change.orderedAt = now;
    change.step = 'order';
  }

  private order(change: ModelChange, now: number): void {
    const {group, rules} = this.context;
    const {target, unverified} = change.chosen!;
    if (now - change.orderedAt > TOKEN_VALIDITY || !change.isTargetReady) {
      change.restart();
      return;
    }
    const {generation, revision} = this.known!;
    group.order({
      target,
      term: change.nextTerm,
      token: rules.tokenOf(generation, revision),
      isUnverified: unverified !== undefined,
      placedAt: now,
    });
    change.step = 'await';
  }

  private awaitPromotion(
    change: ModelChange,
    reachable: readonly ModelInstance[],
    now: number,
  ): void {
    const target = this.context.group.find(change.chosen!.target);
    const isLeading = target.isPrimary && target.term >= change.nextTerm;
    if (isLeading && reachable.includes(target)) {
      const {position} = change.chosen!;
      this.complete(target, position, reachable, now);
    } else if (now - change.orderedAt > PROMOTION_TIMEOUT) change.restart();
  }

  private adoptPrimary(
    {term, orders = 0}: PrimaryRecord,
    reachable: readonly ModelInstance[],
    now: number,
  ): boolean {
    const ordered = term + Math.max(1, orders);
    const [leader] = reachable
      .filter(each => each.isPrimary && each.term >= ordered)
      .sort((left, right) => right.term - left.term);
    if (leader === undefined) return false;
    const {received} = this.context.group.report(leader);
    this.complete(leader, received, reachable, now);
    return true;
  }

  private complete(
    leader: ModelInstance,
    initialPosition: LogPosition,
    reachable: readonly ModelInstance[],
    now: number,
  ): void {
    this.change = undefined;
    const record = steadyRecord(leader, initialPosition);
    const written = this.write(record, now);
    if (written === undefined) return;
    if (this.isRecovering) this.context.counts.promotedAfterRestore += 1;
    this.isRecovering = false;
    for (const instance of reachable) this.context.group.release(instance);
  }

  private boundDepartures(
    {term, primary}: PrimaryRecord,
    reachable: readonly ModelInstance[],
  ): void {
    const {group} = this.context;
    const leader = reachable.find(({id}) => id === primary);
    if (leader?.isPrimary !== true || leader.term !== term) return;
    const {received} = group.report(leader);
    group.departed.recordBound(group.departed.unbounded, received);
  }

  /** Holds the leaving replicas while another one stays, and releases them otherwise. */
  private holdLeavingReplicas(
    {term, primary}: PrimaryRecord,
    reachable: readonly ModelInstance[],
  ): void {
    const {group} = this.context;
    const replicas = group.instances.filter(({id}) => id !== primary);
    const held = replicasToHold(
      replicas.map(({id, isLeaving}) => ({id, isLeaving, isRegistered: true})),
    );
    for (const replica of replicas) {
      if (!replica.isLeaving || !reachable.includes(replica)) continue;
      if (held.includes(replica.id)) group.hold(replica, term + 1);
      else group.release(replica);
    }
  }

  private recordOf({
    base,
    orders,
    initialPosition,
  }: ModelChange): PrimaryRecord {
    const {term, primary} = base;
    return {
      term,
      primary,
      phase: PrimaryPhase.Changing,
      orders,
      initialPosition,
    };
  }
}

function steadyRecord(
  {id: primary, term}: {readonly id: string; readonly term: number},
  initialPosition: LogPosition,
): PrimaryRecord {
  return {term, primary, phase: PrimaryPhase.Steady, initialPosition};
}
