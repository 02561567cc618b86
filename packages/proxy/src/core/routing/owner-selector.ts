import type {GroupResource, OwnerHealth} from '@sapphireglade/decisions';
import {
  ErrorKind,
  findGroup,
  orderByHealth,
  rankOwners,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import type {MemberNode, ProxyContext} from '../context/index.js';

/** Time for which an owner is ranked last after a failure, in milliseconds. */
const AVOIDANCE_MS = 1_000;

/**
 * Failures of the link to an owner or of its process; they affect all groups.
 */
const LINK_FAILURES: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.LinkClosed,
  ErrorKind.LinkUnresponsive,
  ErrorKind.OutcomeUnknown,
  ErrorKind.ShuttingDown,
  ErrorKind.NotReady,
]);

/** Failures of an owner that affect one group. */
const GROUP_FAILURES: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.NoOwner,
  ErrorKind.NoConnection,
]);

/** Cached ranking of owners for one group resource and list of members. */
interface RankedGroup {
  readonly resource: GroupResource;
  readonly members: readonly MemberNode[];
  readonly owners: readonly string[];
}

/** Ranks the owners of each group by distance and recent failures. */
export class OwnerSelector {
  private readonly rankingCache = new Map<string, RankedGroup>();
  private readonly avoidUntilMs = new Map<string, number>();

  /** @param context - The shared state of this process. */
  constructor(private readonly context: ProxyContext) {}

  /**
   * Lists the owners of a group, the preferred one first.
   *
   * @throws SapphiregladeError of kind `not-found` if there is no such group.
   */
  listOwners(name: string): string[] {
    const owners = this.getRankedOwners(name);
    const healthOf = (owner: string): OwnerHealth => this.healthOf(owner, name);
    return orderByHealth(owners, healthOf, performance.now());
  }

  /** Records the result of a request to an owner. */
  recordResult(
    owner: string,
    group: string,
    failure: ErrorKind | undefined,
  ): void {
    if (failure === undefined) return;
    if (owner === this.context.settings.vm && LINK_FAILURES.has(failure)) {
      return;
    }
    const untilMs = performance.now() + AVOIDANCE_MS;
    if (LINK_FAILURES.has(failure)) this.avoidUntilMs.set(owner, untilMs);
    if (GROUP_FAILURES.has(failure)) {
      this.avoidUntilMs.set(`${owner}/${group}`, untilMs);
    }
  }

  private healthOf(owner: string, group: string): OwnerHealth {
    const linkAvoidUntilMs = this.avoidUntilMs.get(owner) ?? 0;
    const groupAvoidUntilMs = this.avoidUntilMs.get(`${owner}/${group}`) ?? 0;
    const isLinkOpen = linkAvoidUntilMs <= performance.now();
    return {
      isLinkOpen,
      avoidUntilMs: Math.max(linkAvoidUntilMs, groupAvoidUntilMs),
    };
  }

  /**
   * Returns the ranking of a group; recomputes it if group or members changed.
   */
  private getRankedOwners(name: string): readonly string[] {
    const {configuration, members, settings} = this.context;
    const resource = findGroup(configuration.value, name);
    if (resource === undefined) {
      throw new SapphiregladeError(
        ErrorKind.NotFound,
        `There is no group ${name}.`,
      );
    }
    const cached = this.rankingCache.get(name);
    const isCurrent =
      cached?.resource === resource && cached.members === members.value;
    if (cached !== undefined && isCurrent) return cached.owners;
    const nodes = members.value.filter(node => !node.isLeaving);
    const owners = rankOwners(resource, nodes, settings);
    this.rankingCache.set(name, {resource, members: members.value, owners});
    return owners;
  }
}
