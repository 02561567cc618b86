import {ProcessClock} from '@sapphireglade/runtime';
import type {Logger} from '@sapphireglade/runtime';
import type {
  LinkContext,
  LinkIdentity,
  LinkTimings,
} from '@sapphireglade/protocol';
import {LinkServer} from '@sapphireglade/protocol';
import type {ConfigurationHolder} from '../configuration/index.js';
import type {Members} from '../membership/index.js';
import type {NewsDesk, NewsRequest} from '../news/index.js';
import type {GroupOwnership} from '../ownership/index.js';
import type {StatementRunner} from '../sessions/index.js';
import {readClocks, steadyNow} from '../time/index.js';
import {ForwardingRunner} from './forwarding-runner.js';
import {OwnedGroupRunner} from './owned-group-runner.js';
import {OwnerDesk} from './owner-desk.js';
import {OwnerLinks} from './owner-links.js';

/** Limits of links that this proxy accepts. */
const SERVED_LINK_TIMINGS: LinkTimings = {
  pingAfterMs: 250,
  silentAfterMs: 800,
  openTimeoutMs: 400,
  watchesIdleLinks: false,
  // Longer than entry proxies keep a link, so that none is closed under a request.
  unusedAfterMs: 120_000,
};

/** Limits of links that this proxy opens; silence counts only while a request waits. */
const OPENED_LINK_TIMINGS: LinkTimings = {
  ...SERVED_LINK_TIMINGS,
  unusedAfterMs: 30_000,
};

/** How long news may take to arrive, in milliseconds. */
const NEWS_DEADLINE_MS = 800;

/** What forwarding is made from. */
export interface ForwardingOptions {
  readonly identity: LinkIdentity;
  readonly region: string;
  readonly regionOf: (zone: string) => string;
  /** Where links are accepted. */
  readonly listen: {readonly host: string; readonly port: number};
  readonly ownership: GroupOwnership;
  readonly members: Members;
  readonly configuration: ConfigurationHolder;
  /** Availability zone of a group's primary, if it is known. */
  readonly primaryZoneOf: (group: string) => string | undefined;
  /** Runs statements on connections of this proxy. */
  readonly local: StatementRunner;
  /** Passes on what is known of the store. */
  readonly news: NewsDesk;
  readonly log: Logger;
}

/** Sends statements to the owners of their groups, and serves those of others. */
export class ForwardingService {
  private readonly desk: OwnerDesk;
  private readonly links: OwnerLinks;
  private readonly remote: ForwardingRunner;
  private readonly owned: OwnedGroupRunner;
  private readonly server: LinkServer;

  constructor(private readonly options: ForwardingOptions) {
    const {identity, region, regionOf, ownership, members, log} = options;
    const {listen, local, configuration} = options;
    this.desk = new OwnerDesk({
      runner: local,
      isOwned: group => ownership.isOwned(group),
      primaryZoneOf: options.primaryZoneOf,
      configuration,
      news: options.news,
      log,
    });
    const shared: Omit<LinkContext, 'timings'> = {
      identity,
      clock: new ProcessClock(),
      handlers: this.desk,
    };
    this.links = new OwnerLinks({
      self: identity.process,
      place: {availabilityZone: identity.zone, region},
      members,
      regionOf,
      context: {...shared, timings: OPENED_LINK_TIMINGS},
      ownersOf: group => ownership.ownersOf(group),
    });
    this.remote = new ForwardingRunner(this.links, log);
    this.owned = new OwnedGroupRunner(local, this.remote, {
      exist: group => this.links.hasOwner(group),
      areNearerToPrimary: group => {
        const zone = options.primaryZoneOf(group);
        this.links.learnPrimary(group, zone);
        return this.links.hasOwnerNearerTo(group, zone);
      },
    });
    this.server = new LinkServer(
      {address: listen.host, port: listen.port},
      {...shared, timings: SERVED_LINK_TIMINGS},
      log,
    );
  }

  /** Where other proxies reach this one, as HOST:PORT. */
  get peerAddress(): string {
    return `${this.options.listen.host}:${this.server.port}`;
  }

  /** Links to owners that are open. */
  get openLinks(): number {
    return this.links.open;
  }

  /** Statements and transactions of other proxies' callers that are open here. */
  get openGuestWork(): number {
    return this.desk.openWork;
  }

  /** Finds what runs the statements for a group. */
  runnerFor(group: string): StatementRunner {
    return this.options.ownership.isOwned(group) ? this.owned : this.remote;
  }

  /** Whether statements for a group can be sent to another proxy. */
  hasOwner(group: string): boolean {
    return this.links.hasOwner(group);
  }

  /**
   * Asks a proxy that owns groups for news of the store.
   *
   * @returns Its answer, not checked; nothing if there was none.
   */
  async askNews(request: NewsRequest): Promise<unknown> {
    const groups = this.options.configuration.current?.groups.keys() ?? [];
    const peer = this.links.chooseAny(groups);
    if (peer === undefined) return undefined;
    const deadlineMs = steadyNow() + NEWS_DEADLINE_MS;
    const result = await peer.ask(
      () => ({...request, sentAt: readClocks()}),
      deadlineMs,
    );
    return result.kind === 'answered' ? result.body : undefined;
  }

  /** Begins to accept links. */
  start(): Promise<void> {
    return this.server.start();
  }

  /** Takes no new statements of other proxies. */
  drain(): void {
    this.desk.drain();
  }

  /** Ends the transactions of other proxies' callers in which no statement runs. */
  endGuestTransactions(): void {
    this.desk.endOpenTransactions();
  }

  /** Closes every link. */
  async stop(): Promise<void> {
    this.links.close();
    await this.server.stop(0);
  }
}
