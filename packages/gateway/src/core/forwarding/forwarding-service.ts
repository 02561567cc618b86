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
import {readClocks, steadyNowMs} from '../time/index.js';
import {ForwardingRunner} from './forwarding-runner.js';
import {OwnedGroupRunner} from './owned-group-runner.js';
import {ForwardedRequestServer} from './forwarded-request-server.js';
import {OwnerLinks} from './owner-links.js';

/** Limits of links that this proxy accepts. */
const SERVED_LINK_TIMINGS: LinkTimeouts = {
  keepaliveIntervalMs: 250,
  keepaliveTimeoutMs: 800,
  openTimeoutMs: 400,
  shouldPingIdleLinks: false,
  // Longer than entry proxies keep a link, so that none is closed under a request.
  idleTimeoutMs: 120_000,
};

/** Limits of links that this proxy opens; silence counts only while a request waits. */
const OPENED_LINK_TIMINGS: LinkTimeouts = {
  ...SERVED_LINK_TIMINGS,
  idleTimeoutMs: 30_000,
};

/** How long news may take to arrive, in milliseconds. */
const RELAY_DEADLINE_MS = 800;

/** What forwarding is made from. */
export interface ForwardingOptions {
  readonly identity: ProcessIdentity;
  readonly region: string;
  readonly regionOf: (zone: string) => string;
  /** Where links are accepted. */
  readonly listen: {readonly host: string; readonly port: number};
  readonly ownership: GroupOwnership;
  readonly members: MemberList;
  readonly configuration: LatestConfiguration;
  /** Availability zone of a group's primary, if it is known. */
  readonly primaryZoneOf: (group: string) => string | undefined;
  /** Runs statements on connections of this proxy. */
  readonly localRunner: StatementRunner;
  /** Passes on what is known of the store. */
  readonly relayServer: StoreRelayServer;
  readonly log: Logger;
}

/** Sends statements to the owners of their groups, and serves those of others. */
export class ForwardingService {
  private readonly requestServer: ForwardedRequestServer;
  private readonly ownerLinks: OwnerLinks;
  private readonly remoteRunner: ForwardingRunner;
  private readonly ownedGroupRunner: OwnedGroupRunner;
  private readonly linkServer: LinkServer;

  constructor(private readonly options: ForwardingOptions) {
    const {identity, region, regionOf, ownership, members, log} = options;
    const {listen, localRunner: local, configuration} = options;
    this.requestServer = new ForwardedRequestServer({
      runner: local,
      isOwned: group => ownership.isOwned(group),
      primaryZoneOf: options.primaryZoneOf,
      configuration,
      relayServer: options.relayServer,
      log,
    });
    const shared: Omit<LinkContext, 'timings'> = {
      identity,
      clock: new HybridLogicalClock(),
      handlers: this.requestServer,
    };
    this.ownerLinks = new OwnerLinks({
      self: identity.process,
      location: {availabilityZone: identity.zone, region},
      members,
      regionOf,
      linkContext: {...shared, timings: OPENED_LINK_TIMINGS},
      ownersOf: group => ownership.ownersOf(group),
    });
    this.remoteRunner = new ForwardingRunner(this.ownerLinks, log);
    this.ownedGroupRunner = new OwnedGroupRunner(local, this.remoteRunner, {
      hasOtherOwner: group => this.ownerLinks.hasOwner(group),
      hasOwnerNearRemotePrimary: group => {
        const zone = options.primaryZoneOf(group);
        this.ownerLinks.recordPrimaryZone(group, zone);
        return this.ownerLinks.hasOwnerNearRemotePrimary(group, zone);
      },
    });
    this.linkServer = new LinkServer(
      {address: listen.host, port: listen.port},
      {...shared, timings: SERVED_LINK_TIMINGS},
      log,
    );
  }

  /** Where other proxies reach this one, as HOST:PORT. */
  get peerAddress(): string {
    return `${this.options.listen.host}:${this.linkServer.port}`;
  }

  /** Links to owners that are open. */
  get openLinkCount(): number {
    return this.ownerLinks.open;
  }

  /** Statements and transactions of other proxies' callers that are open here. */
  get activeForwardedCount(): number {
    return this.requestServer.activeCount;
  }

  /** Finds what runs the statements for a group. */
  runnerFor(group: string): StatementRunner {
    return this.options.ownership.isOwned(group)
      ? this.ownedGroupRunner
      : this.remoteRunner;
  }

  /** Whether statements for a group can be sent to another proxy. */
  hasOwner(group: string): boolean {
    return this.ownerLinks.hasOwner(group);
  }

  /**
   * Asks a proxy that owns groups for news of the store.
   *
   * @returns Its answer, not checked; nothing if there was none.
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

  /** Begins to accept links. */
  start(): Promise<void> {
    return this.linkServer.start();
  }

  /** Takes no new statements of other proxies. */
  drain(): void {
    this.requestServer.drain();
  }

  /** Ends the transactions of other proxies' callers in which no statement runs. */
  endForwardedTransactions(): void {
    this.requestServer.endOpenTransactions();
  }

  /** Closes every link. */
  async stop(): Promise<void> {
    this.ownerLinks.close();
    await this.linkServer.stop(0);
  }
}
