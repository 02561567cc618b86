import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {
  LinkContext,
  PeerNotification,
  PeerRequest,
} from '@sapphireglade/protocol';
import {LinkDialer, LinkServer} from '@sapphireglade/protocol';
import {LogPart, SupervisedTask} from '@sapphireglade/runtime';
import type {Observable, Subscription} from 'rxjs';
import {Subject} from 'rxjs';
import type {MemberNode, ProxyContext} from '../context/index.js';

/** A proxy to which a link was opened, or that could not be reached. */
export interface PeerContact {
  /** Name of the VM. */
  readonly peer: string;
  /** Identifies the run of the proxy; absent if it could not be reached. */
  readonly boot?: string;
}

/** Error kinds that mean that the proxy could not be reached. */
const UNREACHABLE_ERROR_KINDS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.LinkClosed,
  ErrorKind.LinkUnresponsive,
]);

/** The links from and to the other proxies. */
export class PeerLinks extends SupervisedTask {
  private readonly dialers = new Map<string, LinkDialer>();
  private readonly server: LinkServer;
  private readonly contacts = new Subject<PeerContact>();
  private subscription: Subscription | undefined;

  /**
   * @param context - The shared state of this process.
   * @param linkContext - State shared by all links of this process.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly linkContext: LinkContext,
  ) {
    super('peer-links');
    const {address, peerPort} = context.settings;
    this.server = new LinkServer(
      {address, port: peerPort},
      linkContext,
      context.logs(LogPart.Link),
    );
  }

  /** Emits each proxy to which a link was opened or a request failed. */
  get contacts$(): Observable<PeerContact> {
    return this.contacts;
  }

  /**
   * Sends a request to a proxy.
   *
   * @param vm - Name of the proxy's VM.
   * @param request - The request.
   * @param deadlineMs - Time to wait for the response, in milliseconds.
   * @throws SapphiregladeError with an outcome that shows whether the request
   *   was
   *   sent.
   */
  request(
    vm: string,
    request: PeerRequest,
    deadlineMs: number,
  ): Promise<unknown> {
    const dialer = this.getOrCreateDialer(vm);
    if (dialer === undefined) {
      return Promise.reject(
        new SapphiregladeError(
          ErrorKind.LinkClosed,
          `The proxy ${vm} is not known.`,
          {outcome: Outcome.NotRun},
        ),
      );
    }
    return this.requestOverLink(dialer, vm, request, deadlineMs);
  }

  /** Sends a notification over every open link, outgoing and incoming. */
  notifyAll(notice: PeerNotification): void {
    for (const dialer of this.dialers.values()) dialer.current?.notify(notice);
    for (const link of this.server.openLinks) link.notify(notice);
  }

  /** Listens on the peer port. */
  protected async onStart(): Promise<void> {
    await this.server.start();
    this.subscription = this.context.members.subscribe(members =>
      this.closeStaleLinks(members),
    );
  }

  /** Closes all links. */
  protected async onStop(deadlineMs: number): Promise<void> {
    this.subscription?.unsubscribe();
    for (const dialer of this.dialers.values()) dialer.stop();
    await this.server.stop(deadlineMs);
  }

  private async requestOverLink(
    dialer: LinkDialer,
    vm: string,
    request: PeerRequest,
    deadlineMs: number,
  ): Promise<unknown> {
    try {
      return await dialer.request(request, deadlineMs);
    } catch (error) {
      const isUnreachable =
        error instanceof SapphiregladeError &&
        UNREACHABLE_ERROR_KINDS.has(error.kind);
      if (isUnreachable) this.contacts.next({peer: vm});
      throw error;
    }
  }

  private getOrCreateDialer(vm: string): LinkDialer | undefined {
    const existing = this.dialers.get(vm);
    if (existing !== undefined) return existing;
    const member = this.context.members.value.find(({name}) => name === vm);
    if (member === undefined) return undefined;
    const {peerPort: port, address: localAddress} = this.context.settings;
    const dialer = new LinkDialer(
      {address: member.address, port, localAddress},
      this.linkContext,
    );
    dialer.openedLinks$.subscribe(() => this.onLinkOpened(vm));
    this.dialers.set(vm, dialer);
    return dialer;
  }

  private onLinkOpened(vm: string): void {
    this.context.events.record('link-opened', {peer: vm});
    const boot = this.dialers.get(vm)?.current?.peer?.boot;
    if (boot !== undefined) this.contacts.next({peer: vm, boot});
    this.dialers.get(vm)?.current?.closed$.subscribe(error =>
      this.context.events.record('link-closed', {
        peer: vm,
        reason: error.kind,
      }),
    );
  }

  /** Closes the links to VMs that were removed or have a new address. */
  private closeStaleLinks(members: readonly MemberNode[]): void {
    for (const [vm, dialer] of this.dialers) {
      const member = members.find(({name}) => name === vm);
      if (member?.address === dialer.address.address) continue;
      dialer.stop();
      this.dialers.delete(vm);
    }
  }
}
