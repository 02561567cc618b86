import type {FailoverEffect, GroupResource} from '@sapphireglade/decisions';
import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {
  FollowResponse,
  GrantTermResponse,
  InstanceStatus,
  PeerInstance,
} from '@sapphireglade/protocol';
import type {InstanceWatcher} from '../observations/index.js';
import type {OwnedInstances} from '../pool/index.js';

/** The effects of one type. */
export type EffectOf<Type extends FailoverEffect['type']> = Extract<
  FailoverEffect,
  {type: Type}
>;

/**
 * Sends control requests to instances over the connections of their watchers.
 */
export class InstanceControlClient {
  /**
   * @param coordinator - Name of this process.
   * @param owned - The instances that this process owns.
   */
  constructor(
    private readonly coordinator: string,
    private readonly owned: OwnedInstances,
  ) {}

  /** Requests the grant of a term from an instance. */
  async requestTerm(
    group: GroupResource,
    {instance, term, voters}: EffectOf<'grant'>,
  ): Promise<GrantTermResponse> {
    const {coordinator} = this;
    return this.watcher(group, instance).control((connection, timeoutMs) =>
      connection.requestTerm({term, coordinator, voters}, timeoutMs),
    );
  }

  /** Promotes an instance to primary of a term. */
  async promote(
    group: GroupResource,
    {instance, term, voterSets}: EffectOf<'promote'>,
  ): Promise<InstanceStatus> {
    const replicas = group.instances
      .filter(({name}) => name !== instance)
      .map(({name}) => toPeerInstance(group, name));
    return this.watcher(group, instance).control((connection, timeoutMs) =>
      connection.promote({term, replicas, voterSets}, timeoutMs),
    );
  }

  /** Makes an instance follow the primary of a term. */
  async follow(
    group: GroupResource,
    {instance, term, primary, voterSets}: EffectOf<'follow'>,
  ): Promise<FollowResponse> {
    const target = toPeerInstance(group, primary);
    return this.watcher(group, instance).control((connection, timeoutMs) =>
      connection.follow({term, primary: target, voterSets}, timeoutMs),
    );
  }

  /**
   * Requests the status of an instance; the response arrives as an observation.
   */
  async probe(group: GroupResource, instance: string): Promise<void> {
    const watcher = this.owned.watcher(group.name, instance);
    await watcher?.probe().catch(() => undefined);
  }

  /** Shortens the watches of a group, because control requests will follow. */
  expectControlRequests(group: GroupResource): void {
    for (const {name} of group.instances) {
      this.owned.watcher(group.name, name)?.expectControlRequests();
    }
  }

  private watcher(group: GroupResource, instance: string): InstanceWatcher {
    const watcher = this.owned.watcher(group.name, instance);
    if (watcher !== undefined) return watcher;
    throw new SapphiregladeError(
      ErrorKind.NoConnection,
      `This proxy holds no connection to ${instance}.`,
      {outcome: Outcome.NotRun},
    );
  }
}

function toPeerInstance(group: GroupResource, instance: string): PeerInstance {
  const found = group.instances.find(({name}) => name === instance);
  const {address, port} = found ?? {address: '', port: 0};
  return {instance, address, port};
}
