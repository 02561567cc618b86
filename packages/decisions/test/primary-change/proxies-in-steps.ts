import type {LogPosition} from '../../src/index.js';
import {
  higherPosition,
  leastCommitPosition,
  PrimaryPhase,
} from '../../src/index.js';
import type {ChangeRules, Dice, RecordStore} from './change-rules.js';
import {
  ANSWER_LIMIT_STEPS,
  HELD_ANSWER_STEPS,
  VIEW_VALIDITY_STEPS,
} from './change-rules.js';
import type {InstancesInSteps, StepInstance} from './instances-in-steps.js';

/** What a proxy takes for the primary. */
interface View {
  readonly term: number;
  readonly primary: string;
  confirmedAt: number;
}

/** A connection of a proxy to one incarnation. */
interface Connection {
  readonly bornAtMs: number;
  readonly openedAt: number;
}

/** A commit whose answer has not been passed on. */
interface PendingCommit {
  readonly position: LogPosition;
  readonly leader: StepInstance;
  /** What the proxy knew of the leader's log when it sent the commit. */
  readonly before: LogPosition | undefined;
  /** What the answer says of the leader's log. */
  answered: LogPosition | undefined;
  /** When the answer reaches the proxy; undefined until a replica has confirmed. */
  answerAt: number | undefined;
  readonly sentAt: number;
}

/** One proxy of the model. */
export interface StepProxy {
  hasStore: boolean;
  view: View | undefined;
  /** When the store last confirmed the view. */
  storeConfirmedAt: number;
  /** Revision of the newest record that it has taken in. */
  revision: number;
  /** Instances that the store named last. */
  listed: readonly string[];
  /** Highest term that it knows. */
  term: number;
  readonly connections: Map<string, Connection>;
  /** Instances that it does not reach. */
  readonly cutFrom: Set<string>;
  /** Highest position that each instance has shown in an answer. */
  readonly shown: Map<string, LogPosition>;
  /** What its acknowledged commits have certainly reached. */
  least: LogPosition | undefined;
  /** The same, when it last took in that the primary is out of use. */
  leastReleased: LogPosition | undefined;
  commits: PendingCommit[];
}

/** Proxies that write at the primary of their views and acknowledge commits. */
export class ProxiesInSteps {
  readonly all: StepProxy[] = [];
  /** Leaders of higher terms that were adopted without the store. */
  adoptions = 0;
  /** Answers that were acknowledged after they had been held. */
  acknowledgedLate = 0;

  /**
   * @param rules - What the proxies adhere to.
   * @param dice - Decides what is left open.
   * @param store - The record.
   * @param instances - The instances.
   * @param onAcknowledged - Handles a commit that is acknowledged.
   * @param onStep - Handles a description of a step.
   */
  constructor(
    private readonly rules: ChangeRules,
    private readonly dice: Dice,
    private readonly store: RecordStore,
    private readonly instances: InstancesInSteps,
    private readonly onAcknowledged: (
      position: LogPosition,
      least: LogPosition | undefined,
    ) => void,
    private readonly onStep: (text: string) => void,
  ) {
    for (let index = 0; index < 3; index += 1) {
      const proxy: StepProxy = {
        hasStore: true,
        view: {term: 1, primary: 'i1', confirmedAt: 0},
        storeConfirmedAt: 0,
        revision: 1,
        term: 1,
        listed: ['i1', 'i2', 'i3'],
        connections: new Map<string, Connection>(),
        cutFrom: new Set<string>(),
        shown: new Map<string, LogPosition>(),
        least: undefined,
        leastReleased: undefined,
        commits: [],
      };
      this.all.push(proxy);
      this.connect(proxy, -1);
    }
  }

  /** Whether every proxy has taken in a record. */
  haveReleased(revision: number): boolean {
    return this.all.every(proxy => proxy.revision >= revision);
  }

  /** Opens connections to the listed instances that a proxy reaches. */
  connect(proxy: StepProxy, now: number): void {
    for (const {id} of this.instances.listed) {
      const instance = this.instances.find(id);
      if (instance === undefined || !isReachable(proxy, instance)) continue;
      const {bornAtMs} = instance;
      if (proxy.connections.get(id)?.bornAtMs === bornAtMs) continue;
      proxy.connections.set(id, {bornAtMs, openedAt: now});
    }
  }

  /** Lets a proxy read the record, if it has access to the store. */
  refresh(proxy: StepProxy, now: number): void {
    if (!proxy.hasStore) return;
    const {term, primary, phase, revision} = this.store.record;
    proxy.revision = revision;
    proxy.term = term;
    proxy.listed = this.instances.listed.map(({id}) => id);
    if (phase === PrimaryPhase.Changing) {
      proxy.view = undefined;
      proxy.leastReleased = proxy.least;
      return;
    }
    proxy.view = {term, primary, confirmedAt: now};
    proxy.storeConfirmedAt = now;
    this.settleHeld(proxy, now);
  }

  /** Lets a proxy verify its view, or adopt a leader of a higher term, without the store. */
  verify(proxy: StepProxy, now: number): void {
    const {view} = proxy;
    const witnesses = this.instances.all.filter(each =>
      this.isWitness(proxy, each),
    );
    const isFollowed = (term: number): boolean =>
      witnesses.some(
        each => !each.isPrimary && each.term === term && each.heldTerm <= term,
      );
    if (view !== undefined && this.isValid(proxy, now)) {
      const isLeading = witnesses.some(
        ({id, isPrimary, term}) =>
          id === view.primary && isPrimary && term === view.term,
      );
      if (isLeading && isFollowed(view.term)) view.confirmedAt = now;
    }
    const leader = witnesses
      .filter(({isPrimary, term}) => isPrimary && term > proxy.term)
      .find(({term}) => isFollowed(term));
    if (leader === undefined) return;
    if (this.rules.adoptsInValidView && !this.isValid(proxy, now)) return;
    const mayAdopt = proxy.listed.every(id =>
      witnesses.some(
        each =>
          each.id === id &&
          each.term <= leader.term &&
          each.heldTerm <= leader.term,
      ),
    );
    if (this.rules.adoptsIfAllAnswer && !mayAdopt) return;
    this.adoptions += 1;
    this.onStep(
      `p${this.all.indexOf(proxy)} adopts ${leader.id} of ${leader.term}`,
    );
    proxy.term = leader.term;
    proxy.view = {term: leader.term, primary: leader.id, confirmedAt: now};
  }

  /** Lets a proxy send a write to the primary of its view. */
  write(proxy: StepProxy, now: number): void {
    const leader = proxy.view && this.instances.find(proxy.view.primary);
    if (leader === undefined || !this.isValid(proxy, now)) return;
    if (!leader.isPrimary || !isReachable(proxy, leader)) return;
    const start = proxy.view && {term: proxy.view.term, position: 0};
    proxy.commits.push({
      position: this.instances.append(leader),
      leader,
      before: higherPosition(proxy.shown.get(leader.id), start),
      answered: undefined,
      answerAt: undefined,
      sentAt: now,
    });
  }

  /** Lets instances answer the commits that are confirmed, and proxies pass on the answers that have arrived. */
  deliver(now: number): void {
    for (const proxy of this.all) {
      for (const commit of proxy.commits) this.confirm(commit, now);
      const arrived = proxy.commits.filter(
        ({answerAt = Infinity}) => answerAt === now,
      );
      for (const commit of arrived) this.answer(proxy, commit, now);
      proxy.commits = proxy.commits.filter(
        ({sentAt}) => now - sentAt < HELD_ANSWER_STEPS,
      );
    }
  }

  private confirm(commit: PendingCommit, now: number): void {
    const {leader, position, answerAt} = commit;
    const isLeading =
      leader.isUp && leader.isPrimary && leader.term === position.term;
    if (answerAt !== undefined || !isLeading) return;
    if (!this.instances.isConfirmed(leader, position)) return;
    commit.answered = leader.log.at(-1);
    commit.answerAt = this.dice.chance(0.6)
      ? now
      : now + this.dice.below(ANSWER_LIMIT_STEPS);
  }

  private answer(proxy: StepProxy, commit: PendingCommit, now: number): void {
    const {id} = commit.leader;
    const shown = higherPosition(proxy.shown.get(id), commit.answered);
    if (shown !== undefined) proxy.shown.set(id, shown);
    const isUsed = proxy.view?.primary === id;
    const isValid = isUsed && this.isValid(proxy, now);
    if (isValid || !this.rules.acknowledgesInValidView)
      this.acknowledge(proxy, commit);
  }

  /** Acknowledges the held commits that the record shows to be kept. */
  private settleHeld(proxy: StepProxy, now: number): void {
    const {term, primary, initialPosition} = this.store.record;
    const held = proxy.commits.filter(
      ({answerAt = Infinity}) => answerAt <= now,
    );
    for (const commit of held) {
      const {position, leader} = commit;
      const isPrimary = position.term === term && leader.id === primary;
      const isKept =
        position.term === initialPosition?.term &&
        position.position <= initialPosition.position;
      if (!isPrimary && !isKept) continue;
      this.acknowledgedLate += 1;
      this.acknowledge(proxy, commit);
    }
  }

  private acknowledge(proxy: StepProxy, commit: PendingCommit): void {
    proxy.commits = proxy.commits.filter(each => each !== commit);
    const least = leastCommitPosition(commit);
    proxy.least = higherPosition(proxy.least, least);
    this.onAcknowledged(commit.position, least);
  }

  private isValid({view}: StepProxy, now: number): boolean {
    return view !== undefined && now - view.confirmedAt < VIEW_VALIDITY_STEPS;
  }

  /** Returns whether a proxy counts what an instance says of its primary. */
  private isWitness(proxy: StepProxy, instance: StepInstance): boolean {
    if (!isReachable(proxy, instance)) return false;
    if (!this.rules.verifiesByOldConnections) return true;
    const connection = proxy.connections.get(instance.id);
    return (
      connection?.bornAtMs === instance.bornAtMs &&
      connection.openedAt < proxy.storeConfirmedAt
    );
  }
}

function isReachable(proxy: StepProxy, instance: StepInstance): boolean {
  return instance.isUp && !proxy.cutFrom.has(instance.id);
}
