import type {InstanceListView} from '@sapphireglade/decisions';
import {HybridLogicalClock} from '@sapphireglade/runtime';
import type {Logger} from '@sapphireglade/runtime';
import type {
  LinkContext,
  ProcessIdentity,
  LinkTimeouts,
} from '@sapphireglade/protocol';
import {LinkServer} from '@sapphireglade/protocol';
import type {LatestConfiguration} from '../configuration/index.js';
import type {MemberList} from '../membership/index.js';
import type {StoreRelayServer, RelayRequest} from '../store-relay/index.js';
import type {GroupOwnership} from '../ownership/index.js';
import type {StatementRunner} from '../sessions/index.js';
import {
  readClocks,
  steadyNowMs,
  TIMED_OUT,
  withTimeout,
} from '../time/index.js';
import {ForwardingRunner} from './forwarding-runner.js';
import {decodeInstanceList, instanceListRequest} from './instance-list-view.js';
import {OwnedGroupRunner} from './owned-group-runner.js';
import {ForwardedRequestServer} from './forwarded-request-server.js';
import {OwnerLinks} from './owner-links.js';

/** Timeouts of links that this proxy accepts. */
const SERVED_LINK_TIMINGS: LinkTimeouts = {
  keepaliveIntervalMs: 250,
  keepaliveTimeoutMs: 800,
  openTimeoutMs: 400,
  shouldPingIdleLinks: false,
  // Longer than the idle timeout of entry proxies, so that no link is closed while a request is sent.
  idleTimeoutMs: 120_000,
};

/** Timeouts of links that this proxy opens; an unresponsive peer is detected only while a request waits. */
const OPENED_LINK_TIMINGS: LinkTimeouts = {
  ...SERVED_LINK_TIMINGS,
  idleTimeoutMs: 30_000,
};

/** Deadline of a relay request, in milliseconds. */
const RELAY_DEADLINE_MS = 800;

/** Dependencies and settings of the forwarding service. */
export interface ForwardingOptions {
  readonly identity: ProcessIdentity;
  readonly region: string;
  readonly regionOf: (zone: string) => string;
  /** Address on which links are accepted. */
  readonly listen: {readonly host: string; readonly port: number};
  readonly ownership: GroupOwnership;
  readonly members: MemberList;
  readonly configuration: LatestConfiguration;
  /** Returns the availability zone of a group's primary, if it is known. */
  readonly primaryZoneOf: (group: string) => string | undefined;
  /** Runs statements on connections of this proxy. */
  readonly localRunner: StatementRunner;
  /** Answers requests of other proxies for the state of the store. */
  readonly relayServer: StoreRelayServer;
  /** Returns what this proxy knows of the instances of a group. */
  readonly instanceListOf: (group: string) => InstanceListView;
  /**
   * Returns the time by which a stopping process answers every statement, in
   * milliseconds of the steady clock; Infinity while it is not stopping.
   */
  readonly answersByMs: () => number;
  readonly log: Logger;
}

/** Forwards statements to the owners of their groups, and serves statements that other proxies forward. */
export class ForwardingService {
  private readonly requestServer: ForwardedRequestServer;
  private readonly ownerLinks: OwnerLinks;
  private readonly remoteRunner: ForwardingRunner;
  private readonly ownedGroupRunner: OwnedGroupRunner;
  private readonly linkServer: LinkServer;

  constructor(private readonly options: ForwardingOptions) {
    const {identity, region, regionOf, ownership, members, log} = options;
    const {listen, localRunner, configuration} = options;
    this.requestServer = new ForwardedRequestServer({
      runner: localRunner,
      isOwned: group => ownership.isOwned(group),
      primaryZoneOf: options.primaryZoneOf,
      configuration,
      relayServer: options.relayServer,
      instanceListOf: options.instanceListOf,
      answersByMs: options.answersByMs,
      log,
    });
    const sharedContext: Omit<LinkContext, 'timings'> = {
      identity,
      clock: new HybridLogicalClock(),
      handlers: this.requestServer,
    };
    this.ownerLinks = new OwnerLinks({
      self: identity.process,
      location: {availabilityZone: identity.zone, region},
      members,
      regionOf,
      linkContext: {...sharedContext, timings: OPENED_LINK_TIMINGS},
      ownersOf: group => ownership.ownersOf(group),
    });
    this.remoteRunner = new ForwardingRunner(this.ownerLinks, log);
    this.ownedGroupRunner = new OwnedGroupRunner(
      localRunner,
      this.remoteRunner,
      {
        hasOtherOwner: group => this.ownerLinks.hasOwner(group),
        hasOwnerNearRemotePrimary: group => {
          const zone = options.primaryZoneOf(group);
          this.ownerLinks.recordPrimaryZone(group, zone);
          return this.ownerLinks.hasOwnerNearRemotePrimary(group, zone);
        },
      },
    );
    this.linkServer = new LinkServer(
      {address: listen.host, port: listen.port},
      {...sharedContext, timings: SERVED_LINK_TIMINGS},
      log,
    );
  }

  /** Address at which other proxies reach this one, as HOST:PORT. */
  get peerAddress(): string {
    return `${this.options.listen.host}:${this.linkServer.port}`;
  }

  /** Number of open links to owners. */
  get openLinkCount(): number {
    return this.ownerLinks.open;
  }

  /** Number of statements and transactions of other proxies' callers that are open on this proxy. */
  get activeForwardedCount(): number {
    return this.requestServer.activeCount;
  }

  /** Returns the runner for the statements of a group. */
  runnerFor(group: string): StatementRunner {
    return this.options.ownership.isOwned(group)
      ? this.ownedGroupRunner
      : this.remoteRunner;
  }

  /** Returns whether statements for a group can be forwarded to another proxy. */
  hasReachableOwner(group: string): boolean {
    return this.ownerLinks.hasReachableOwner(group);
  }

  /**
   * Requests changes of the store from a proxy that owns groups.
   *
   * @returns The response, not validated; undefined if there was none.
   */
  async requestRelay(request: RelayRequest): Promise<unknown> {
    const groups = this.options.configuration.current?.groups.keys() ?? [];
    const peer = this.ownerLinks.selectAnyOwner(groups);
    if (peer === undefined) return undefined;
    const deadlineMs = steadyNowMs() + RELAY_DEADLINE_MS;
    const result = await peer.request(
      () => ({...request, sentAt: readClocks()}),
      deadlineMs,
    );
    return result.kind === 'answered' ? result.body : undefined;
  }

  /**
   * Asks the other owners of a group what they know of its instances.
   *
   * @param group - Name of the group.
   * @param timeoutMs - Time limit, in milliseconds.
   * @returns One entry for each of them; undefined for one that did not answer.
   */
  async requestInstanceLists(
    group: string,
    timeoutMs: number,
  ): Promise<Array<InstanceListView | undefined>> {
    const deadlineMs = steadyNowMs() + timeoutMs;
    return Promise.all(
      this.ownerLinks.otherOwnersOf(group).map(async peer => {
        if (peer === undefined) return undefined;
        const request = peer.request(
          () => instanceListRequest(group),
          deadlineMs,
        );
        // Opening a link may take longer.
        const result = await withTimeout(request, timeoutMs);
        return result !== TIMED_OUT && result.kind === 'answered'
          ? decodeInstanceList(result.body)
          : undefined;
      }),
    );
  }

  /** Sends the next relay request to another owner, if there is one. */
  changeRelayOwner(): void {
    this.ownerLinks.changeAnyOwner();
  }

  /** Starts accepting links. */
  start(): Promise<void> {
    return this.linkServer.start();
  }

  /** Rejects new statements of other proxies. */
  drain(): void {
    this.requestServer.drain();
  }

  /** Rolls back the transactions of other proxies' callers, each as soon as none of its statements is running. */
  endForwardedTransactions(): void {
    this.requestServer.endOpenTransactions();
  }

  /** Closes every link. */
  async stop(): Promise<void> {
    this.ownerLinks.close();
    await this.linkServer.stop(0);
  }
}
