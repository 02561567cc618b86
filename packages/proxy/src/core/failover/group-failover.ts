import type {
  FailoverEffect,
  FailoverEvent,
  FailoverState,
  FailoverTimelineEvent,
  GroupResource,
  GroupView,
  SuspicionReport,
} from '@sapphireglade/decisions';
import {
  DEFAULT_FAILOVER_POLICY,
  createFailoverState,
  placeOwners,
  PromotionOutcome,
  stepFailover,
} from '@sapphireglade/decisions';
import type {FailoverRequest} from '@sapphireglade/protocol';
import {holdWritesResponseSchema} from '@sapphireglade/protocol';
import type {Logger} from '@sapphireglade/runtime';
import {LogPart} from '@sapphireglade/runtime';
import type {ProxyContext} from '../context/index.js';
import type {PeerLinks} from '../peers/index.js';
import type {OwnedInstances} from '../pool/index.js';
import {UpstreamRefusedError} from '../upstream/index.js';
import type {EffectOf} from './instance-control-client.js';
import {InstanceControlClient} from './instance-control-client.js';
import type {GroupViewStore} from './group-view-store.js';
import type {WriteHolds} from './write-holds.js';

/** Timeout of reports and releases sent to other proxies, in milliseconds. */
const REPORT_TIMEOUT_MS = 500;

/** Maximum duration of a write hold, in milliseconds. */
const WRITE_HOLD_MS =
  DEFAULT_FAILOVER_POLICY.drainTimeoutMs +
  DEFAULT_FAILOVER_POLICY.catchUpTimeoutMs;

/** Dependencies of the failover of one group. */
export interface GroupFailoverOptions {
  readonly group: GroupResource;
  readonly coordinators: readonly string[];
  readonly owned: OwnedInstances;
  readonly links: PeerLinks;
  readonly writeHolds: WriteHolds;
  readonly viewStore: GroupViewStore;
  /** Posts an event to the mailbox of the failover task. */
  readonly emit: (event: FailoverEvent) => void;
}

/** Executes the failover decisions for one group. */
export class GroupFailover {
  private readonly controlClient: InstanceControlClient;
  private readonly log: Logger;
  private state: FailoverState;

  /**
   * @param context - The shared state of this process.
   * @param options - The group and the dependencies of its failover.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly options: GroupFailoverOptions,
  ) {
    const {group, coordinators, owned} = options;
    const {process: self, zone} = context.identity;
    const view = context.groupViews.get(group.name);
    this.log = context.logs(LogPart.Failover);
    this.controlClient = new InstanceControlClient(self, owned);
    this.state = createFailoverState({self, zone, group, coordinators, view});
  }

  /** Applies an event and executes the resulting effects. */
  handle(event: FailoverEvent): void {
    const result = stepFailover(
      this.state,
      event,
      performance.now(),
      DEFAULT_FAILOVER_POLICY,
    );
    this.state = result.state;
    for (const effect of result.effects) this.executeEffect(effect);
  }

  private executeEffect(effect: FailoverEffect): void {
    switch (effect.type) {
      case 'report':
        return this.report(effect.report);
      case 'grant':
        return void this.requestTerm(effect);
      case 'promote':
        return void this.promote(effect);
      case 'follow':
        return void this.follow(effect);
      case 'publish':
        return this.publishView(effect.view);
      case 'hold-writes':
        return void this.holdWrites(effect.term);
      case 'release-writes':
        return this.releaseWrites(effect.term);
      case 'probe':
        return void this.controlClient.probe(this.state.group, effect.instance);
      case 'record':
        return this.record(effect.step);
    }
  }

  private report(report: SuspicionReport): void {
    const others = this.state.coordinators.filter(
      name => name !== this.state.self,
    );
    for (const vm of others) {
      void this.sendRequest(
        vm,
        {type: 'primary-report', report},
        REPORT_TIMEOUT_MS,
      );
    }
  }

  private async requestTerm(effect: EffectOf<'grant'>): Promise<void> {
    const {instance, term} = effect;
    const answer = await this.controlClient
      .requestTerm(this.state.group, effect)
      .catch(() => undefined);
    this.options.emit({type: 'grant-answer', instance, term, answer});
  }

  private async promote(effect: EffectOf<'promote'>): Promise<void> {
    const {instance, term} = effect;
    const {group} = this.state;
    try {
      const status = await this.controlClient.promote(group, effect);
      const {termStarts} = status;
      const outcome = PromotionOutcome.Promoted;
      const answer = {instance, term, outcome, termStarts};
      this.options.emit({type: 'promotion-answer', ...answer});
    } catch (error) {
      const outcome =
        error instanceof UpstreamRefusedError
          ? PromotionOutcome.Refused
          : PromotionOutcome.Unknown;
      this.options.emit({type: 'promotion-answer', instance, term, outcome});
    }
  }

  private async follow(effect: EffectOf<'follow'>): Promise<void> {
    const {instance, term} = effect;
    try {
      const {group} = this.state;
      const answer = await this.controlClient.follow(group, effect);
      const {droppedEntries} = answer;
      this.options.emit({
        type: 'follow-answer',
        instance,
        term,
        droppedEntries,
      });
    } catch (error) {
      const {message} = error as Error;
      this.log.debug('A follow request failed.', {instance, message});
    }
  }

  private publishView(view: GroupView): void {
    const {group, primary, term} = view;
    const termStarts = [...view.termStarts];
    this.context.groupViews.applyIfNewer(view);
    this.options.links.notifyAll({
      type: 'group-view',
      view: {...view, termStarts},
    });
    this.context.events.record('view-published', {group, primary, term});
    this.log.info('A group view was published.', {group, primary, term});
    this.options.viewStore.write(view);
  }

  /**
   * Requests a write hold from every owner of the primary; emits the result.
   */
  private async holdWrites(term: number): Promise<void> {
    const {group} = this.state;
    this.controlClient.expectControlRequests(group);
    const answers = await Promise.all(
      this.primaryOwners().map(vm => this.holdWritesAt(vm, term)),
    );
    const isComplete = answers.every(isDrained => isDrained);
    this.options.emit({type: 'writes-drained', term, isComplete});
  }

  private async holdWritesAt(vm: string, term: number): Promise<boolean> {
    const {name: group} = this.state.group;
    if (vm === this.state.self) {
      return this.options.writeHolds.hold(group, term, WRITE_HOLD_MS);
    }
    const {drainTimeoutMs} = DEFAULT_FAILOVER_POLICY;
    const answer = await this.sendRequest(
      vm,
      {type: 'hold-writes', group, term, holdMs: WRITE_HOLD_MS},
      drainTimeoutMs,
    );
    return holdWritesResponseSchema.safeParse(answer).data?.isDrained === true;
  }

  private releaseWrites(term: number): void {
    const {name: group} = this.state.group;
    this.options.writeHolds.release(group, term);
    for (const vm of this.primaryOwners()) {
      if (vm === this.state.self) continue;
      void this.sendRequest(
        vm,
        {type: 'release-writes', group, term},
        REPORT_TIMEOUT_MS,
      );
    }
  }

  /** Returns the proxies that send writes to the primary. */
  private primaryOwners(): readonly string[] {
    const {group, view} = this.state;
    const nodes = this.context.members.value;
    const placements = placeOwners(group, nodes);
    const placement = placements.find(
      ({instance}) => instance === view?.primary,
    );
    return placement?.owners ?? [];
  }

  /** Sends a request to a proxy; returns `undefined` if it fails. */
  private async sendRequest(
    vm: string,
    request: FailoverRequest,
    timeoutMs: number,
  ): Promise<unknown> {
    try {
      return await this.options.links.request(vm, request, timeoutMs);
    } catch (error) {
      const {message} = error as Error;
      this.log.debug('A failover request to a proxy failed.', {vm, message});
      return undefined;
    }
  }

  private record(event: FailoverTimelineEvent): void {
    const {kind, ...fields} = event;
    const {name: group} = this.state.group;
    // The timeline event has the same kind and fields, plus the group.
    this.context.events.record(kind, {group, ...fields} as never);
    this.log.info(`Failover event: ${kind}.`, {group, ...fields});
  }
}
