import type {GroupResource} from '../../../src/index.js';
import {haveSameNames} from '../../../src/index.js';
import {ChangingHistoryChecker} from './changing-history-checker.js';
import type {HistoryChecker} from './history-checker.js';
import {ModelCluster} from './model-cluster.js';
import {groupOf, pick} from './model-group.js';
import type {ModelDecisions, ModelNode} from './model-node.js';

/** Instances of which each declaration names some. */
const POOL_SIZE = 5;
const FIRST_DECLARATION = ['db-0', 'db-1', 'db-2'];
const SMALLEST_DECLARATION = 2;

/** One of this many choices changes a declaration, and one restarts an owner. */
const DECLARATION_INTERVAL = 13;

/** A group whose declaration changes, and reaches each lead owner on its own. */
export class ChangingCluster extends ModelCluster {
  private version = 0;

  constructor(decisions: ModelDecisions) {
    super(POOL_SIZE, decisions);
    const group = groupOf(FIRST_DECLARATION);
    for (const node of this.nodes) {
      node.group = group;
      node.restart();
    }
  }

  override applyChoice(choice: number): void {
    const detail = Math.floor(choice / DECLARATION_INTERVAL);
    switch (choice % DECLARATION_INTERVAL) {
      case 0:
        return this.changeDeclaration(detail);
      case 1:
        // A lead owner that forgets its view has only its declaration.
        return pick(this.nodes, detail).restart();
      default:
        return super.applyChoice(choice);
    }
  }

  override settle(): void {
    this.version += 1;
    const all = groupOf(this.instances.map(({name}) => name));
    for (const node of this.nodes) {
      node.isPaused = false;
      this.declare(node, all);
    }
    super.settle();
  }

  protected override createChecker(): HistoryChecker {
    return new ChangingHistoryChecker(this.instances);
  }

  /** Whether the group has settled with all declared instances as voters. */
  protected override isSettled(): boolean {
    const names = this.instances.map(({name}) => name);
    const haveVoters = this.nodes.every(({state}) =>
      haveSameNames(state.view?.voterSets?.[0]?.instances ?? [], names),
    );
    return haveVoters && super.isSettled();
  }

  /** Declares some of the instances to some of the lead owners. */
  private changeDeclaration(detail: number): void {
    const declared = this.instances.filter(
      (_, index) => ((detail >> index) & 1) === 1,
    );
    if (declared.length < SMALLEST_DECLARATION) return;
    // Lead owners that restart could not tell this from a new group.
    if (declared.every(({voterSets}) => voterSets.length === 0)) return;
    const names = declared.map(({name}) => name);
    this.version += 1;
    const receivers = detail >> POOL_SIZE;
    this.nodes.forEach((node, index) => {
      if (((receivers >> index) & 1) === 1) this.declare(node, groupOf(names));
    });
  }

  private declare(node: ModelNode, group: GroupResource): void {
    node.group = group;
    node.version = this.version;
    const {coordinators, requestedPrimary} = node.state;
    this.dispatch(node, {
      type: 'configured',
      group,
      version: this.version,
      coordinators,
      requestedPrimary,
    });
  }
}
