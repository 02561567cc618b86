import {connect} from 'node:net';
import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {Observable} from 'rxjs';
import {firstValueFrom, map, merge, Subject, timer} from 'rxjs';
import {Link} from './link.js';
import type {LinkContext, ProcessIdentity} from './types.js';

/** Address and port on which a peer listens. */
export interface LinkAddress {
  readonly address: string;
  readonly port: number;
  /** Local IP address to connect from; any if omitted. */
  readonly localAddress?: string;
}

/** Delay after a failed connection attempt, in milliseconds. */
const RECONNECT_BACKOFF_MS = 200;

/** Maintains at most one link to a peer and opens it on first use. */
export class LinkDialer {
  private readonly openedLinks = new Subject<Link>();
  private link: Link | undefined;
  private pendingOpen: Promise<Link> | undefined;
  private nextAttemptAtMs = 0;
  private isStopped = false;

  /**
   * @param address - Address of the peer.
   * @param context - Configuration shared by all links of this process.
   */
  constructor(
    readonly address: LinkAddress,
    private readonly context: LinkContext,
  ) {}

  /** Emits each link once it is open. */
  get openedLinks$(): Observable<Link> {
    return this.openedLinks;
  }

  /** The open link, if there is one. */
  get current(): Link | undefined {
    return this.link?.isOpen === true ? this.link : undefined;
  }

  /** Whether a request fails at once, because an attempt to connect failed recently. */
  get isBackingOff(): boolean {
    return performance.now() < this.nextAttemptAtMs;
  }

  /**
   * Sends a request; opens a link if none is open.
   *
   * @param body - One of the peer requests.
   * @param deadlineMs - How long to wait, in milliseconds.
   * @throws SapphiregladeError whose outcome says whether the request was sent.
   */
  async request(body: unknown, deadlineMs: number): Promise<unknown> {
    const startedAt = performance.now();
    const link = await this.open();
    const remainingMs = deadlineMs - (performance.now() - startedAt);
    return link.request(body, Math.max(1, remainingMs));
  }

  /** Returns the open link, or opens one. */
  async open(): Promise<Link> {
    if (this.link?.isOpen === true) return this.link;
    if (this.isStopped || this.isBackingOff) throw createLinkNotOpenedError();
    this.pendingOpen ??= this.dial().finally(() => {
      this.pendingOpen = undefined;
    });
    return this.pendingOpen;
  }

  /** Closes the link and opens no further ones. */
  stop(): void {
    this.isStopped = true;
    this.link?.close();
  }

  private async dial(): Promise<Link> {
    const {address: host, port, localAddress} = this.address;
    const link = new Link(connect({host, port, localAddress}), this.context);
    this.link = link;
    const peer = await waitForHandshake(
      link,
      this.context.timings.openTimeoutMs,
    );
    if (peer === undefined) {
      link.close();
      this.nextAttemptAtMs = performance.now() + RECONNECT_BACKOFF_MS;
      throw createLinkNotOpenedError();
    }
    this.openedLinks.next(link);
    return link;
  }
}

/**
 * Waits for the peer's hello frame; returns undefined if the link closes or
 * times out.
 */
function waitForHandshake(
  link: Link,
  timeoutMs: number,
): Promise<ProcessIdentity | undefined> {
  const closed$ = link.closed$.pipe(map(() => undefined));
  const timeout$ = timer(timeoutMs).pipe(map(() => undefined));
  return firstValueFrom(merge(link.opened$, closed$, timeout$));
}

function createLinkNotOpenedError(): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.LinkClosed,
    'No link to the other proxy could be opened.',
    {outcome: Outcome.NotRun},
  );
}
