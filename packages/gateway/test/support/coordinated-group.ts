import {PrimaryPhase} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  PrimaryChange,
  PrimaryChangeReason,
} from '../../src/core/coordinator/primary-change.js';
import type {PrimaryChangeContext, PromotionService} from '../../src/index.js';
import {
  CoordinatorTask,
  DatabaseGroup,
  primaryRecordKey,
  steadyNowMs,
} from '../../src/index.js';
import {ChangingGroup} from './changing-group.js';
import {GroupPromotions} from './group-promotions.js';
import type {MemoryInstance} from './memory-group.js';
import {MemoryStoreState} from './memory-store.js';
import type {PrimaryChangeContextOptions} from './primary-change-context.js';
import {
  createPrimaryChangeContext,
  registeredInstance,
} from './primary-change-context.js';
import {ViewHolder} from './view-holder.js';

/** Name of the group. */
export const GROUP = 'ledger';

/** Name of the proxy that coordinates. */
export const SELF = 'proxy-1';

/** What can be set of a coordinated group. */
export interface CoordinatedGroupOptions extends Pick<
  PrimaryChangeContextOptions,
  'isDirectoryCurrent' | 'log' | 'orderPendingMs'
> {
  /** Returns the service that promotes instances; by default orders take effect at once. */
  readonly createPromotions?: (group: ChangingGroup) => PromotionService;
}

/** A group of three in-memory instances and the proxy that coordinates it, with a steady record of term 1. */
export class CoordinatedGroup {
  readonly state = new MemoryStoreState();
  readonly group = new ChangingGroup(GROUP, 3);
  /** The group as the coordinator knows it. */
  readonly view = new DatabaseGroup(GROUP);
  readonly context: PrimaryChangeContext;
  /** The primary of term 1. */
  readonly old: MemoryInstance;
  readonly first: MemoryInstance;
  readonly second: MemoryInstance;
  /** Whether the proxy is the coordinator. */
  isCoordinating = true;
  private task: CoordinatorTask | undefined;

  /** @param options - What differs from the defaults. */
  constructor({
    createPromotions = group => new GroupPromotions(group),
    isDirectoryCurrent = sinceMs => steadyNowMs() >= sinceMs,
    log,
    orderPendingMs,
  }: CoordinatedGroupOptions = {}) {
    [this.old, this.first, this.second] = this.group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    this.context = createPrimaryChangeContext({
      self: SELF,
      state: this.state,
      group: this.group,
      promotions: createPromotions(this.group),
      view: this.view,
      isCoordinating: () => this.isCoordinating,
      isDirectoryCurrent,
      log,
      orderPendingMs,
    });
    const record = {
      term: 1,
      primary: this.old.id,
      phase: PrimaryPhase.Steady,
    };
    this.state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    this.view.applyRecord({record, revision: this.state.revision});
  }

  /** Publishes a second proxy, which uses the primary and does not release it. */
  addViewHolder(): ViewHolder {
    const holder = new ViewHolder('proxy-2', this.group, this.state);
    holder.publish(this.context);
    return holder;
  }

  /**
   * Starts the regular checks of the coordinator.
   *
   * @param isUpToDate - Returns whether the directory was read after a time, in
   *   milliseconds of the steady clock.
   */
  async startChecks(
    isUpToDate: (sinceMs: number) => boolean = () => true,
  ): Promise<void> {
    const {context, view} = this;
    const holder = (): string | undefined =>
      this.isCoordinating ? SELF : undefined;
    this.task = new CoordinatorTask({
      context: {
        ...context,
        groups: {getOrCreate: () => view} as never,
        knownProxies: {names: []} as never,
        ownersOf: () => [],
      },
      key: {
        get holder() {
          return holder();
        },
        revision: context.coordinatorRevision(),
      } as never,
      lease: undefined as never,
      holder: SELF,
      isConnected: () => true,
      isUpToDate: sinceMs => this.isCoordinating && isUpToDate(sinceMs),
      onRefreshNeeded: () => undefined,
    });
    await this.task.start();
  }

  /** Ends the regular checks, so that a test runs a change itself. */
  async stopChecks(): Promise<void> {
    const {timer} = (this.task ?? {}) as unknown as {timer?: NodeJS.Timeout};
    clearInterval(timer);
    await sleep(0);
  }

  /** Lists the present start of an instance. */
  register({id, bornAtMs}: MemoryInstance): void {
    this.context.directory.register({
      ...registeredInstance(id, GROUP),
      bornAtMs,
    });
  }

  /** Replaces the primary, which cannot be used. */
  replacePrimary(): Promise<void> {
    const {context, view} = this;
    return new PrimaryChange(context, view, PrimaryChangeReason.Unusable).run();
  }

  /** Ends the role of the coordinator and closes all connections. */
  close(): void {
    this.isCoordinating = false;
    this.context.control.closeAll();
    this.group.close();
    this.state.close();
  }
}
