import type {PrimaryRecord} from '@sapphireglade/decisions';
import {readClocks} from '../../src/core/time/index.js';
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

/** Interval between two entries that a running instance writes, in milliseconds. */
const HEARTBEAT_MS = 250;

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
  /** Whether a running instance reaches the store. */
  writesEntry: (instance: MemoryInstance) => boolean = () => true;
  private readonly task: CoordinatorTask;
  private readonly heartbeat: NodeJS.Timeout;
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
    // Instances that are down have written theirs before.
    const {directory} = this.context;
    for (const entry of directory.instances)
      directory.register({...entry, sequence: 0});
    this.heartbeat = setInterval(
      () => this.writeEntries(group.instances),
      HEARTBEAT_MS,
    );
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
    clearInterval(this.heartbeat);
    this.isCoordinating = false;
    this.context.control.closeAll();
  }

  /** Lets the listed instances that run write their entries again, and the directory read them. */
  private writeEntries(instances: readonly MemoryInstance[]): void {
    const {directory} = this.context;
    const sentAt = readClocks();
    for (const {id, isDown, bornAtMs} of instances) {
      const entry = directory.find(id);
      if (entry === undefined || isDown || !directory.isRegistered(id))
        continue;
      const sequence = (entry.sequence ?? 0) + 1;
      directory.register({...entry, bornAtMs, sequence});
    }
    directory.confirm(sentAt);
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
