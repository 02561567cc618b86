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

/** How long other owners may take to answer, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 200;

/** Answers are used for this long before others are asked again. */
const REFRESH_INTERVAL_MS = 100;

/**
 * What other owners see of instances that this process does not watch.
 *
 * An answer gives the age of each observation. Counted back from the time at
 * which the question was sent, it can only make an observation look older
 * than it is, so that no two clocks are compared.
 */
export class RemoteObservations {
  private readonly recentRefreshes = new Map<string, Promise<void>>();

  /**
   * @param context - What every task may use.
   * @param owned - The instances that this process watches.
   * @param links - Reaches the other proxies.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly owned: OwnedInstances,
    private readonly links: PeerLinks,
  ) {}

  /** Answers another owner. */
  answer({group}: ObserveGroupRequest): GroupObservations {
    const {configuration, observations} = this.context;
    const instances = findGroup(configuration.value, group)?.instances ?? [];
    const nowMs = performance.now();
    return {
      observations: instances
        .map(({name}) => observations.get(group, name))
        .filter(seen => seen !== undefined)
        .map(({status, sentAtMs}) => ({status, ageMs: nowMs - sentAtMs})),
    };
  }

  /** Asks the other owners of a group, where this one does not see all of it. */
  async refresh(group: GroupResource): Promise<void> {
    const {name, instances} = group;
    const seesAll = instances.every(
      instance => this.owned.pool(name, instance.name) !== undefined,
    );
    if (seesAll) return;
    const known = this.recentRefreshes.get(name);
    if (known !== undefined) return known;
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
    const asked = [...others].map(owner => this.requestFrom(owner, group.name));
    await Promise.all(asked);
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
      // Another owner that does not answer leaves less to know.
    }
  }
}
