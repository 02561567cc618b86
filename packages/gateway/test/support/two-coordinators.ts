import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  PrimaryChange,
  PrimaryChangeReason,
} from '../../src/core/coordinator/primary-change.js';
import {readClocks, steadyNowMs} from '../../src/core/time/index.js';
import type {PrimaryChangeContext} from '../../src/index.js';
import {
  coordinatorKey,
  DatabaseGroup,
  primaryRecordKey,
} from '../../src/index.js';
import {GroupPromotions} from './group-promotions.js';
import type {MemoryInstance} from './memory-group.js';
import {MemoryGroup} from './memory-group.js';
import {MemoryStoreState} from './memory-store.js';
import {
  createPrimaryChangeContext,
  registeredInstance,
} from './primary-change-context.js';

const GROUP = 'ledger';

/** Name of the proxy that coordinates first. */
export const FIRST = 'proxy-1';

/** Name of the proxy that coordinates after it. */
export const SECOND = 'proxy-2';

/** A proxy that coordinates, with its own view of the record and its own list. */
export interface Coordinator {
  readonly view: DatabaseGroup;
  readonly context: PrimaryChangeContext;
}

/** A group of four in-memory instances and two proxies that coordinate it in turn, with a steady record of term 1. */
export class TwoCoordinators {
  readonly group = new MemoryGroup(GROUP, 4);
  readonly promotions = new GroupPromotions(this.group);
  readonly first: Coordinator;
  readonly second: Coordinator;
  private readonly state = new MemoryStoreState();
  private coordinating = FIRST;

  constructor() {
    const [primary, ...replicas] = this.group.instances;
    const record: PrimaryRecord = {
      term: 1,
      primary: primary!.id,
      primaryBornAtMs: 1,
      phase: PrimaryPhase.Steady,
      confirmers: {instances: replicas.map(({id}) => ({id, bornAtMs: 1}))},
    };
    this.state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    this.second = this.createCoordinator(SECOND);
    this.first = this.createCoordinator(FIRST);
    for (const each of [this.first, this.second]) this.follow(each);
  }

  /** Lets a proxy learn the record of the store. */
  follow({view}: Coordinator): void {
    const {value, revision} = this.state.items.get(primaryRecordKey(GROUP))!;
    const record = JSON.parse(value.toString()) as PrimaryRecord;
    view.applyRecord({record, revision, generation: record.generation});
  }

  /** Removes the entry of an instance from the list of a proxy, after its grace period. */
  removeEntry({context}: Coordinator, {id}: MemoryInstance): void {
    context.directory.markMissing(id);
    context.directory.removeMissing(steadyNowMs() + 60_000, false);
  }

  /** Lists a start of an instance at a proxy. */
  register(
    {context}: Coordinator,
    {id}: MemoryInstance,
    bornAtMs: number,
  ): void {
    context.directory.register({...registeredInstance(id, GROUP), bornAtMs});
  }

  /** Commits a write that another proxy acknowledges, which tells nothing any more. */
  async acknowledgeWrite(leader: MemoryInstance, name: string): Promise<void> {
    const {position} = (await this.group.commit(leader, name))!;
    this.group.acknowledged.set(name, {atMs: steadyNowMs(), position});
  }

  /**
   * Lets the first proxy replace the primary.
   *
   * @param timeoutMs - How long the change may take, in milliseconds.
   */
  replacePrimary(timeoutMs: number): Promise<void> {
    return this.change(this.first, timeoutMs);
  }

  /** Gives the role to the second proxy, and lets it replace the primary. */
  async replacePrimaryBySecond(timeoutMs: number): Promise<void> {
    this.coordinating = SECOND;
    this.state.put(coordinatorKey(this.state.generation), SECOND);
    const {revision} = this.state;
    const context = {
      ...this.second.context,
      coordinatorRevision: () => (this.coordinating === SECOND ? revision : 0),
    };
    await this.change({...this.second, context}, timeoutMs);
  }

  /** Ends both roles and closes all connections. */
  close(): void {
    this.coordinating = '';
    for (const {context} of [this.first, this.second])
      context.control.closeAll();
    this.group.close();
    this.state.close();
  }

  private async change(
    {view, context}: Coordinator,
    timeoutMs: number,
  ): Promise<void> {
    const reason = PrimaryChangeReason.Unusable;
    const change = new PrimaryChange(context, view, reason).run();
    await Promise.race([change.catch(() => undefined), sleep(timeoutMs)]);
  }

  private createCoordinator(self: string): Coordinator {
    const view = new DatabaseGroup(GROUP);
    const context = createPrimaryChangeContext({
      self,
      state: this.state,
      group: this.group,
      promotions: this.promotions,
      view,
      isCoordinating: () => this.coordinating === self,
      isDirectoryCurrent: sinceMs => steadyNowMs() >= sinceMs,
    });
    context.directory.confirm(readClocks());
    return {view, context};
  }
}
