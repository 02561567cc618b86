import type {GroupResource} from '@sapphireglade/decisions';
import {findGroup, placeOwners} from '@sapphireglade/decisions';
import type {
  GroupObservations,
  ObserveGroupRequest,
} from '@sapphireglade/protocol';
import {groupObservationsSchema} from '@sapphireglade/protocol';
import type {ProxyContext} from '../context/index.js';
import type {PeerLinks} from '../peers/index.js';
import type {OwnedInstances} from '../pool/index.js';

/** Timeout of a request to another owner, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 200;

/** Minimum time between two refreshes of a group, in milliseconds. */
const REFRESH_INTERVAL_MS = 100;

/**
 * Fetches observations of instances that this process does not watch from the
 * proxies that own them.
 *
 * A response contains the age of each observation. That age is subtracted from
 * the local time at which the request was sent. An observation can therefore
 * only look older than it is, and clocks of two machines are never compared.
 */
export class RemoteObservations {
  private readonly recentRefreshes = new Map<string, Promise<void>>();

  /**
   * @param context - The shared state of this process.
   * @param owned - The instances that this process watches.
   * @param links - The links to other proxies.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly owned: OwnedInstances,
    private readonly links: PeerLinks,
  ) {}

  /** Returns the observations of this process for a group. */
  answer({group}: ObserveGroupRequest): GroupObservations {
    const {configuration, observations} = this.context;
    const instances = findGroup(configuration.value, group)?.instances ?? [];
    const nowMs = performance.now();
    return {
      observations: instances
        .map(({name}) => observations.get(group, name))
        .filter(observation => observation !== undefined)
        .map(({status, sentAtMs}) => ({status, ageMs: nowMs - sentAtMs})),
    };
  }

  /**
   * Fetches observations from the other owners of a group, unless this process
   * owns all of its instances or a refresh is recent.
   */
  async refresh(group: GroupResource): Promise<void> {
    const {name, instances} = group;
    const ownsAll = instances.every(
      instance => this.owned.pool(name, instance.name) !== undefined,
    );
    if (ownsAll) return;
    const recent = this.recentRefreshes.get(name);
    if (recent !== undefined) return recent;
    const refresh = this.requestFromAll(group);
    this.recentRefreshes.set(name, refresh);
    setTimeout(
      () => this.recentRefreshes.delete(name),
      REFRESH_INTERVAL_MS,
    ).unref();
    return refresh;
  }

  private async requestFromAll(group: GroupResource): Promise<void> {
    const nodes = this.context.members.value.filter(node => !node.isLeaving);
    const owners = placeOwners(group, nodes).flatMap(entry => entry.owners);
    const others = new Set(owners);
    others.delete(this.context.settings.vm);
    const requests = [...others].map(owner =>
      this.requestFrom(owner, group.name),
    );
    await Promise.all(requests);
  }

  private async requestFrom(owner: string, group: string): Promise<void> {
    const sentAtMs = performance.now();
    const request = {type: 'observe-group', group} as const;
    try {
      const body = await this.links.request(
        owner,
        request,
        RESPONSE_TIMEOUT_MS,
      );
      const {observations} = groupObservationsSchema.parse(body);
      for (const {status, ageMs} of observations) {
        this.owned.freshness.applyObservation({
          group,
          instance: status.instance,
          status,
          sentAtMs: sentAtMs - ageMs,
          answeredAtMs: performance.now(),
        });
      }
    } catch {
      // The read is routed without the observations of this owner.
    }
  }
}
