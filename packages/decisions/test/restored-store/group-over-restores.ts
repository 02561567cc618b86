import {
  decideRecordRecovery,
  fencingTokenOf,
  PrimaryPhase,
} from '../../src/index.js';
import {VIEW_VALIDITY} from './model-change.js';
import type {CoordinatorCounts, Rules} from './model-coordinator.js';
import {ModelCoordinator, TOKEN_VALIDITY} from './model-coordinator.js';
import type {ModelInstance} from './model-group.js';
import {ModelGroup, ORDER_LIFETIME} from './model-group.js';
import {ModelStore} from './model-store.js';

/** The rules as the product has them. */
export const RULES: Rules = {
  decide: decideRecordRecovery,
  tokenOf: fencingTokenOf,
  coordinatorKeyOf: generation => `coordinator/${generation}`,
  isCurrent: (written, generation) => written === generation,
};

/** One event of a history; the parts select what it acts on. */
export interface HistoryEvent {
  readonly kind:
    | 'act'
    | 'write'
    | 'confirm'
    | 'verify'
    | 'promote'
    | 'follow'
    | 'crash'
    | 'restart'
    | 'lose'
    | 'leave'
    | 'restore'
    | 'expire'
    | 'replace-coordinator';
  readonly first: number;
  readonly second: number;
  /** Bit mask of the instances that cannot be reached at present. */
  readonly unreachable: number;
  /** Model time that passes before the event. */
  readonly delay: number;
}

/** What a proxy holds to be the primary. */
interface ModelProxy {
  term: number;
  primary: string;
  validUntil: number;
}

const INSTANCES = 3;
const PROXIES = 2;
const COORDINATORS = 2;

/**
 * A group, proxies and coordinators on a store that is restored at times, with
 * an observer that knows everything.
 */
export class GroupOverRestores {
  readonly counts: CoordinatorCounts = {
    confirmed: 0,
    confirmedDespiteHold: 0,
    changedAfterRestore: 0,
    promotedAfterRestore: 0,
    waited: 0,
  };
  readonly store = new ModelStore({
    term: 1,
    primary: 'i1',
    phase: PrimaryPhase.Steady,
    initialPosition: {term: 0, position: 0},
  });
  readonly group = new ModelGroup(INSTANCES);
  /** Commits that were acknowledged after another instance had been promoted. */
  readonly atOldPrimary: string[] = [];
  acknowledged = 0;
  private readonly proxies: ModelProxy[] = [];
  private readonly coordinators: ModelCoordinator[] = [];
  private created = 0;
  private now = 0;

  constructor(private readonly rules: Rules = RULES) {
    for (let index = 0; index < PROXIES; index += 1) {
      this.proxies.push({term: Infinity, primary: '', validUntil: 0});
    }
    for (let index = 0; index < COORDINATORS; index += 1) {
      this.coordinators.push(this.createCoordinator());
    }
  }

  /** Descriptions of everything that must not happen. */
  get violations(): readonly string[] {
    const {lost, tokensBack} = this.group;
    return [
      ...lost.map(each => `lost: ${each}`),
      ...tokensBack.map(each => `token: ${each}`),
      ...this.store.conflicts.map(each => `coordinators: ${each}`),
      ...this.atOldPrimary.map(each => `old primary: ${each}`),
    ];
  }

  /** Applies one event. */
  apply(event: HistoryEvent): void {
    this.handle(event);
    const {term, primary} = this.store.record.record;
    this.group.updateDepartures(term, primary);
  }

  private handle({
    kind,
    first,
    second,
    unreachable,
    delay,
  }: HistoryEvent): void {
    this.now += delay;
    const {group, now, store} = this;
    const proxy = this.proxies[first % PROXIES]!;
    const instance = group.at(first);
    switch (kind) {
      case 'act': {
        const coordinator = this.coordinators[first % COORDINATORS]!;
        return coordinator.act(this.reachable(unreachable), second === 0, now);
      }
      case 'write':
        return this.write(proxy, group.at(second));
      case 'confirm':
        return this.confirm(proxy);
      case 'verify':
        return this.verify(proxy, this.reachable(unreachable));
      case 'promote':
        return group.promote(second, now);
      case 'follow':
        return group.follow(instance);
      case 'crash':
        instance.isUp = false;
        return;
      case 'leave':
        instance.isLeaving = true;
        return;
      case 'restart':
      case 'lose':
        return group.restart(instance, this.keepsLog(kind, instance), now);
      case 'restore':
        return store.restore(second + 1, now);
      case 'expire':
        return store.expireClaims(TOKEN_VALIDITY, now);
      case 'replace-coordinator':
        this.coordinators[first % COORDINATORS] = this.createCoordinator();
    }
  }

  /** Departures leave out the recorded primary, so it must not lose its log. */
  private keepsLog(kind: HistoryEvent['kind'], {id}: ModelInstance): boolean {
    return kind === 'restart' || id === this.store.record.record.primary;
  }

  private createCoordinator(): ModelCoordinator {
    this.created += 1;
    const {counts, group, rules, store} = this;
    const context = {counts, group, rules, store};
    return new ModelCoordinator(`c${this.created}`, context);
  }

  private reachable(unreachable: number): readonly ModelInstance[] {
    return this.group.instances.filter(
      ({isUp}, index) => isUp && Math.floor(unreachable / 2 ** index) % 2 === 0,
    );
  }

  private write(proxy: ModelProxy, replica: ModelInstance): void {
    if (proxy.validUntil <= this.now) return;
    const primary = this.group.find(proxy.primary);
    if (!primary.isUp || !primary.isPrimary) return;
    if (!this.group.commit(primary, replica)) return;
    this.acknowledged += 1;
    const {highestTerm} = this.group;
    if (primary.term < highestTerm) {
      this.atOldPrimary.push(`term ${primary.term} after ${highestTerm}`);
    }
  }

  /** Takes in the record of the store, if it counts. */
  private confirm(proxy: ModelProxy): void {
    const {record, generation} = this.store.record;
    if (!this.rules.isCurrent(generation, this.store.generation)) return;
    const {term, primary, phase} = record;
    const isUsable = phase === PrimaryPhase.Steady;
    const validUntil = isUsable ? this.now + VIEW_VALIDITY : 0;
    Object.assign(proxy, {term, primary, validUntil});
  }

  /**
   * Extends a valid view on the word of the instances, or takes over a leader of
   * a higher term. An instance that started a moment ago may have lost its hold,
   * and counts only for a view that is still valid.
   */
  private verify(proxy: ModelProxy, reachable: readonly ModelInstance[]): void {
    const {now} = this;
    const isSettled = ({startedAt}: ModelInstance): boolean =>
      now - startedAt > ORDER_LIFETIME;
    for (const leader of reachable) {
      const {id, isPrimary, term} = leader;
      const followers = reachable.filter(
        each => !each.isPrimary && each.term === term && each.heldTerm <= term,
      );
      if (!isPrimary || followers.length === 0) continue;
      const isExtended =
        term === proxy.term && id === proxy.primary && proxy.validUntil > now;
      const isTakenOver =
        term > proxy.term &&
        reachable.every(each => each.term <= term) &&
        isSettled(leader) &&
        followers.some(isSettled);
      if (isExtended || isTakenOver) {
        const validUntil = now + VIEW_VALIDITY;
        Object.assign(proxy, {term, primary: id, validUntil});
      }
    }
  }
}
