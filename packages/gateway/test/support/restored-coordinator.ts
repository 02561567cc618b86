import type {PrimaryRecord} from '@sapphireglade/decisions';
import type {PrimaryChangeContext, PromotionService} from '../../src/index.js';
import {
  CoordinatorTask,
  DatabaseGroup,
  primaryRecordKey,
} from '../../src/index.js';
import type {MemoryGroup, MemoryInstance} from './memory-group.js';
import type {MemoryStoreState} from './memory-store.js';
import {createPrimaryChangeContext} from './primary-change-context.js';

const SELF = 'proxy-1';

/** Options for a coordinator that starts after a restore of the store. */
export interface RestoredCoordinatorOptions {
  readonly state: MemoryStoreState;
  readonly group: MemoryGroup;
  readonly promotions: PromotionService;
  /** The record in the backup; by default the one that the store has. */
  readonly record?: PrimaryRecord;
  /** The instances in the directory; by default all of the group. */
  readonly registered?: readonly MemoryInstance[];
  /** How long an order of before the restore may still arrive, in milliseconds. */
  readonly orderPendingMs?: number;
}

/** The coordinator of one in-memory group, in a process that started after the store was restored from a backup. */
export class RestoredCoordinator {
  /** The group as the process knows it. */
  readonly view: DatabaseGroup;
  readonly context: PrimaryChangeContext;
  private readonly task: CoordinatorTask;
  private isCoordinating = true;

  /** @param options - The record that is restored, and the instances. */
  constructor({
    state,
    group,
    promotions,
    record,
    registered,
    orderPendingMs,
  }: RestoredCoordinatorOptions) {
    const key = primaryRecordKey(group.name);
    if (record !== undefined) {
      const {generation} = state;
      state.put(key, JSON.stringify({...record, generation}));
    }
    state.restore(state.backup());
    this.view = new DatabaseGroup(group.name);
    this.context = createPrimaryChangeContext({
      self: SELF,
      state,
      group,
      promotions,
      view: this.view,
      isCoordinating: () => this.isCoordinating,
      ...(registered && {registered}),
      ...(orderPendingMs !== undefined && {orderPendingMs}),
    });
    const {revision, value} = state.items.get(key)!;
    const restored = JSON.parse(value.toString()) as PrimaryRecord;
    const {generation} = state;
    this.view.applyRecord({record: restored, revision, generation});
    this.task = new CoordinatorTask({
      context: {
        ...this.context,
        groups: {getOrCreate: () => this.view} as never,
        knownProxies: {names: []} as never,
        ownersOf: () => [],
      },
      key: this.key() as never,
      lease: undefined as never,
      holder: SELF,
      isConnected: () => true,
      isUpToDate: () => true,
      onRefreshNeeded: () => undefined,
    });
  }

  /** Starts to check the group. */
  async start(): Promise<void> {
    await this.task.start();
  }

  /** Ends the checks of the group; the process keeps the role, so that a test can run a change. */
  stopChecks(): void {
    clearInterval((this.task as unknown as {timer: NodeJS.Timeout}).timer);
  }

  /** Ends everything that the process has under way. */
  close(): void {
    this.stopChecks();
    this.isCoordinating = false;
    this.context.control.closeAll();
  }

  /** Returns the key of the role, which this process holds until it is closed. */
  private key(): {
    readonly holder: string | undefined;
    readonly revision: number;
  } {
    const isCoordinating = (): boolean => this.isCoordinating;
    return {
      get holder() {
        return isCoordinating() ? SELF : undefined;
      },
      revision: this.context.coordinatorRevision(),
    };
  }
}
