import type {GroupResource, OwnerHealth} from '@sapphireglade/decisions';
import {
  ErrorKind,
  findGroup,
  orderByHealth,
  rankOwners,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import type {MemberNode, ProxyContext} from '../context/index.js';

/** How long an owner that failed is asked last, in milliseconds. */
const AVOIDANCE_MS = 1_000;

/** Failures of the way to an owner, whatever the group. */
const LINK_FAILURES: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.LinkClosed,
  ErrorKind.LinkUnresponsive,
  ErrorKind.OutcomeUnknown,
  ErrorKind.ShuttingDown,
  ErrorKind.NotReady,
]);

/** Failures of an owner that concern one group. */
const GROUP_FAILURES: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.NoOwner,
  ErrorKind.NoConnection,
]);

/** The owners of one group, for one configuration and list of members. */
interface RankedGroup {
  readonly resource: GroupResource;
  readonly members: readonly MemberNode[];
  readonly owners: readonly string[];
}

/** Knows in which order the owners of each group should be asked. */
export class OwnerSelector {
  private readonly rankingCache = new Map<string, RankedGroup>();
  private readonly avoidUntilMs = new Map<string, number>();

  /** @param context - What every task may use. */
  constructor(private readonly context: ProxyContext) {}

  /**
   * Lists the owners of a group, the one to ask first at the front.
   *
   * @throws SapphiregladeError of kind `not-found` if there is no such group.
   */
  listOwners(name: string): string[] {
    const owners = this.getRankedOwners(name);
    const healthOf = (owner: string): OwnerHealth => this.healthOf(owner, name);
    return orderByHealth(owners, healthOf, performance.now());
  }

  /** Takes in how an owner answered. */
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
    const ofLink = this.avoidUntilMs.get(owner) ?? 0;
    const ofGroup = this.avoidUntilMs.get(`${owner}/${group}`) ?? 0;
    const isOpen = ofLink <= performance.now();
    return {isLinkOpen: isOpen, avoidUntilMs: Math.max(ofLink, ofGroup)};
  }

  /** Ranks anew only when the group or the members have changed. */
  private getRankedOwners(name: string): readonly string[] {
    const {configuration, members, settings} = this.context;
    const resource = findGroup(configuration.value, name);
    if (resource === undefined) {
      throw new SapphiregladeError(
        ErrorKind.NotFound,
        `There is no group ${name}.`,
      );
    }
    const known = this.rankingCache.get(name);
    const isCurrent =
      known?.resource === resource && known.members === members.value;
    if (known !== undefined && isCurrent) return known.owners;
    const nodes = members.value.filter(node => !node.isLeaving);
    const owners = rankOwners(resource, nodes, settings);
    this.rankingCache.set(name, {resource, members: members.value, owners});
    return owners;
  }
}
