import type {
  FailoverEffect,
  FailoverEvent,
  LogPosition,
} from '../../../src/index.js';
import {TERM_VALIDITY_MS} from '../../../src/index.js';
import {groupOf, pick, ZONES} from './model-group.js';
import {HistoryChecker} from './history-checker.js';
import {ModelInstance} from './model-instance.js';
import type {ModelDecisions} from './model-node.js';
import {WRITE_HOLD_MS, ModelNode, WRITE_TIMEOUT_MS} from './model-node.js';

const NODES = ['entry-a', 'entry-b', 'entry-c'];
/** Rounds within which the group must settle after all faults have ended. */
const SETTLING_ROUNDS = 150;
const ROUND_MS = 15;

/** A message in transit; its delivery may send further messages. */
interface Message {
  readonly from: string;
  readonly to: string;
  readonly deliver: () => void;
}

/** A group, its lead owners and the network, driven by a list of choices. */
export class ModelCluster {
  readonly instances: readonly ModelInstance[];
  readonly nodes: readonly ModelNode[];
  private readonly byName: ReadonlyMap<string, ModelInstance>;
  private readonly blockedRoutes = new Set<string>();
  protected readonly checker: HistoryChecker;
  private messages: Message[] = [];
  private requestedPrimary: string | undefined;
  private nowMs = 1_000;
  private nextId = 1;

  constructor(size: number, decisions: ModelDecisions) {
    const names = Array.from({length: size}, (_, index) => `db-${index}`);
    const group = groupOf(names);
    this.instances = names.map(name => new ModelInstance(name));
    this.byName = new Map(this.instances.map(each => [each.name, each]));
    this.checker = this.createChecker();
    this.nodes = NODES.map(
      (name, index) =>
        new ModelNode(name, ZONES[index] ?? '', group, NODES, decisions),
    );
  }

  protected createChecker(): HistoryChecker {
    return new HistoryChecker(this.instances);
  }

  /** Runs without faults until the group has its first primary. */
  electFirstPrimary(): void {
    for (let round = 0; round < 4; round += 1) this.runRound();
  }

  /** Applies one choice of the history. */
  applyChoice(choice: number): void {
    const kind = choice % 32;
    const detail = Math.floor(choice / 32);
    const node = pick(this.nodes, detail);
    const instance = pick(this.instances, Math.floor(detail / 3));
    if (kind < 11) return this.deliver(detail);
    if (kind < 13) return this.runRound();
    if (kind < 15) return this.advance(1 + (detail % 20));
    if (kind < 17) return this.probe(node, instance);
    if (kind < 22) return this.sendWrite(node);
    if (kind < 24) return this.replicate(instance);
    this.injectFault(kind, detail, node, instance);
  }

  /** Injects a fault, or ends one. */
  private injectFault(
    kind: number,
    detail: number,
    node: ModelNode,
    instance: ModelInstance,
  ): void {
    switch (kind) {
      case 24:
        return this.requestPrimary(instance);
      case 25:
        return this.dropMessage(detail);
      case 26:
        return this.dispatch(node, {
          type: 'unreachable',
          instance: instance.name,
          reason: 'no answer',
        });
      case 27:
        instance.isUp = !instance.isUp;
        return;
      case 28:
        node.isPaused = !node.isPaused;
        return;
      case 29:
        return this.toggleRoute(node.name, instance.name);
      case 30:
        return detail % 4 === 0 ? node.restart() : this.endFaults();
      default:
        return this.advance(detail % 8 === 0 ? TERM_VALIDITY_MS * 2 : 10);
    }
  }

  /** Ends all faults and runs fair rounds until a last write is confirmed. */
  settle(): void {
    this.endFaults();
    this.broadcastRequestedPrimary();
    this.advance(WRITE_TIMEOUT_MS);
    for (let round = 0; round < SETTLING_ROUNDS; round += 1) {
      this.runRound();
      if (this.isSettled()) return this.confirmLastWrite();
    }
    this.checker.fail('the group did not settle on a primary');
  }

  private endFaults(): void {
    this.blockedRoutes.clear();
    for (const instance of this.instances) instance.isUp = true;
    for (const node of this.nodes) node.isPaused = false;
  }

  /** Checks that the group confirms a write once all faults have ended. */
  private confirmLastWrite(): void {
    this.advance(WRITE_HOLD_MS);
    const node = pick(this.nodes, 0);
    const id = this.nextId;
    this.sendWrite(node);
    for (let round = 0; round < 4; round += 1) this.runRound();
    const outcome = node.outcomes.get(id);
    if (outcome !== 'done') this.checker.fail(`the last write is ${outcome}`);
  }

  /** Checks the whole history against the log of the final primary. */
  check(): readonly string[] {
    const primary = this.instances.find(each => this.isLeading(each));
    for (const node of this.nodes) {
      this.checker.checkOutcomes(node.outcomes, primary?.log ?? []);
    }
    return this.checker.faults;
  }

  private runRound(): void {
    for (const node of this.nodes) {
      for (const instance of this.instances) this.probe(node, instance);
    }
    for (const instance of this.instances) this.replicate(instance);
    for (let left = 400; this.messages.length > 0 && left > 0; left -= 1) {
      this.deliver(0);
    }
    this.advance(ROUND_MS);
  }

  protected isSettled(): boolean {
    const primary = this.instances.find(each => this.isLeading(each));
    const isEqual = this.instances.every(
      each => each.log.at(-1)?.id === primary?.log.at(-1)?.id,
    );
    const isAgreed = this.nodes.every(
      node => node.state.view?.primary === primary?.name,
    );
    const isBusy = this.nodes.some(
      ({state, hasWritesInProgress}) =>
        hasWritesInProgress ||
        state.attempt !== undefined ||
        state.plannedChange,
    );
    const requested = this.requestedPrimary ?? primary?.name;
    const isAsRequested = primary?.name === requested;
    return (
      primary !== undefined && isEqual && isAgreed && isAsRequested && !isBusy
    );
  }

  /** Whether an instance is primary of the highest granted term. */
  private isLeading(instance: ModelInstance): boolean {
    const highest = Math.max(...this.instances.map(each => each.grantedTerm));
    return instance.role === 'primary' && instance.term === highest;
  }

  private send(from: string, to: string, deliver: () => void): void {
    this.messages.push({from, to, deliver});
  }

  private deliver(choice: number): void {
    if (this.messages.length === 0) return;
    const index = choice % this.messages.length;
    const message = this.messages[index];
    if (message === undefined) return;
    const isDelayed = this.nodes.some(
      node => node.isPaused && node.name === message.to,
    );
    if (isDelayed) return;
    this.messages.splice(index, 1);
    const isDown = this.byName.get(message.to)?.isUp === false;
    const isBlocked = this.blockedRoutes.has(`${message.from} ${message.to}`);
    if (isDown || isBlocked) this.reportUnreachable(message.from, message.to);
    else message.deliver();
  }

  /** A lead owner that gets no answer marks the instance as unreachable. */
  private reportUnreachable(from: string, to: string): void {
    const node = this.nodes.find(each => each.name === from);
    const reason = 'no answer';
    if (node !== undefined && this.byName.has(to)) {
      this.dispatch(node, {type: 'unreachable', instance: to, reason});
    }
  }

  private dropMessage(choice: number): void {
    if (this.messages.length === 0) return;
    this.messages.splice(choice % this.messages.length, 1);
  }

  /** Sets or withdraws the primary that an operator requests. */
  private requestPrimary(instance: ModelInstance): void {
    const {name} = instance;
    const isRequested = this.requestedPrimary === name;
    this.requestedPrimary = isRequested ? undefined : name;
    this.broadcastRequestedPrimary();
  }

  /** Sends the operator's request to all lead owners. */
  private broadcastRequestedPrimary(): void {
    for (const node of this.nodes) {
      const {group, declaredVersion: version, coordinators} = node.state;
      const {requestedPrimary} = this;
      this.dispatch(node, {
        type: 'configured',
        group,
        version,
        coordinators,
        requestedPrimary,
      });
    }
  }

  private toggleRoute(left: string, right: string): void {
    // Each direction is blocked separately, so that one-way cuts occur too.
    const route = `${left} ${right}`;
    const reverseRoute = `${right} ${left}`;
    if (this.blockedRoutes.has(route)) this.blockedRoutes.delete(route);
    else this.blockedRoutes.add(route);
    if (this.blockedRoutes.size % 2 === 0) this.blockedRoutes.add(reverseRoute);
    else this.blockedRoutes.delete(reverseRoute);
  }

  private advance(byMs: number): void {
    this.nowMs += byMs;
    for (const node of this.nodes) this.dispatch(node, {type: 'tick'});
  }

  protected dispatch(node: ModelNode, event: FailoverEvent): void {
    if (node.isPaused) return;
    for (const effect of node.handle(event, this.nowMs)) {
      this.executeEffect(node, effect);
    }
    for (const {id, write} of node.settleWrites(this.nowMs)) {
      this.checker.checkAcknowledgement(id, write, this.nowMs);
    }
  }

  private executeEffect(node: ModelNode, effect: FailoverEffect): void {
    switch (effect.type) {
      case 'report':
        this.broadcast(node, {type: 'suspicion', report: effect.report});
        return;
      case 'publish':
        this.broadcast(node, {type: 'view', view: effect.view});
        return this.releaseWrites(node);
      case 'grant':
        this.ask(node, effect.instance, instance => {
          const answer = instance.grant(effect.term, effect.voters);
          this.checker.recordGrants(this.nowMs);
          return {...effect, type: 'grant-answer', answer};
        });
        return;
      case 'promote':
        this.ask(node, effect.instance, instance => {
          const {term, voterSets} = effect;
          const isDone = instance.promote(term, voterSets);
          if (isDone)
            this.checker.recordPrimary(term, instance.name, voterSets);
          const outcome = isDone ? 'promoted' : 'refused';
          return {...effect, type: 'promotion-answer', outcome} as const;
        });
        return;
      case 'follow':
        this.ask(node, effect.instance, instance => {
          instance.follow(effect.term, effect.primary, effect.voterSets);
          this.checker.recordGrants(this.nowMs);
          return {type: 'tick'} as const;
        });
        return;
      case 'probe':
        this.probe(node, this.instanceOf(effect.instance));
        return;
      case 'hold-writes':
        return this.holdWrites(node, effect.term);
      case 'release-writes':
        return this.releaseWrites(node);
      case 'record':
        return;
    }
  }

  /** Asks all lead owners to hold writes; reports when none is in progress. */
  private holdWrites(coordinator: ModelNode, term: number): void {
    const drained = new Set<string>();
    const isComplete = true;
    for (const node of this.nodes) {
      this.send(coordinator.name, node.name, () => {
        node.holdUntilMs = this.nowMs + WRITE_HOLD_MS;
        if (node.hasWritesInProgress) return;
        drained.add(node.name);
        if (drained.size < this.nodes.length) return;
        this.dispatch(coordinator, {type: 'writes-drained', term, isComplete});
      });
    }
  }

  private releaseWrites(coordinator: ModelNode): void {
    for (const node of this.nodes) {
      this.send(coordinator.name, node.name, () => {
        node.holdUntilMs = 0;
      });
    }
  }

  private broadcast(from: ModelNode, event: FailoverEvent): void {
    for (const node of this.nodes) {
      if (node === from) continue;
      this.send(from.name, node.name, () => this.dispatch(node, event));
    }
  }

  /** Sends a request to an instance, and its answer back to the node. */
  private ask(
    node: ModelNode,
    name: string,
    run: (instance: ModelInstance) => FailoverEvent,
  ): void {
    const {boot} = node;
    this.send(node.name, name, () => {
      const event = run(this.instanceOf(name));
      this.send(name, node.name, () => {
        if (node.boot === boot) this.dispatch(node, event);
      });
    });
  }

  private probe(node: ModelNode, instance: ModelInstance): void {
    const askedAtMs = this.nowMs;
    this.ask(node, instance.name, each => ({
      type: 'reported',
      report: each.report,
      askedAtMs,
    }));
  }

  private replicate(replica: ModelInstance): void {
    const primary = this.byName.get(replica.primary);
    if (primary === undefined || !primary.isUp) return;
    if (primary.role !== 'primary' || primary.term !== replica.term) return;
    const {term, log} = primary;
    this.send(primary.name, replica.name, () => {
      const reached = replica.replicate(term, log);
      if (reached === undefined) return;
      this.send(replica.name, primary.name, () => {
        if (primary.term === term) primary.replicas.set(replica.name, reached);
      });
    });
  }

  private sendWrite(node: ModelNode): void {
    const {view} = node.state;
    const isHeld = this.nowMs < node.holdUntilMs;
    if (view === undefined || node.isPaused || isHeld) return;
    const id = this.nextId;
    this.nextId += 1;
    node.startWrite(id, this.nowMs);
    const {boot} = node;
    this.send(node.name, view.primary, () => {
      const primary = this.instanceOf(view.primary);
      const position = primary.write(view.term, id);
      this.send(primary.name, node.name, () => {
        if (node.boot !== boot) return;
        this.answerWrite(node, id, primary.name, position);
      });
    });
  }

  private answerWrite(
    node: ModelNode,
    id: number,
    primary: string,
    position: LogPosition | undefined,
  ): void {
    if (position === undefined) node.settleWrite(id, 'not run');
    else node.awaitConfirmation(id, primary, position);
    this.dispatch(node, {type: 'tick'});
  }

  private instanceOf(name: string): ModelInstance {
    const found = this.byName.get(name);
    if (found === undefined) throw new Error(`There is no instance ${name}.`);
    return found;
  }
}
