import {connect} from 'node:net';
import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {Observable} from 'rxjs';
import {firstValueFrom, map, merge, Subject, timer} from 'rxjs';
import {Link} from './link.js';
import type {LinkContext, ProcessIdentity} from './types.js';

/** Where a peer listens. */
export interface LinkAddress {
  readonly address: string;
  readonly port: number;
  /** IP address from which to connect; any if left out. */
  readonly localAddress?: string;
}

/** Wait after a failed attempt to connect, in milliseconds. */
const RECONNECT_BACKOFF_MS = 200;

/** Keeps at most one link to one peer, opened when it is first needed. */
export class LinkDialer {
  private readonly openedLinks = new Subject<Link>();
  private link: Link | undefined;
  private pendingOpen: Promise<Link> | undefined;
  private nextAttemptAtMs = 0;
  private isStopped = false;

  /**
   * @param address - Where the peer listens.
   * @param context - What all links of this process share.
   */
  constructor(
    readonly address: LinkAddress,
    private readonly context: LinkContext,
  ) {}

  /** Emits each link that opened. */
  get openedLinks$(): Observable<Link> {
    return this.openedLinks;
  }

  /** The open link, if there is one. */
  get current(): Link | undefined {
    return this.link?.isOpen === true ? this.link : undefined;
  }

  /** Whether a connection attempt would fail at once. */
  get isBackingOff(): boolean {
    return performance.now() < this.nextAttemptAtMs;
  }

  /**
   * Sends a request, over a new link if none is open.
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

  /** Gives the open link, or opens one. */
  async open(): Promise<Link> {
    if (this.link?.isOpen === true) return this.link;
    if (this.isStopped || this.isBackingOff) throw createLinkNotOpenedError();
    this.pendingOpen ??= this.dial().finally(() => {
      this.pendingOpen = undefined;
    });
    return this.pendingOpen;
  }

  /** Closes the link and opens no more. */
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

/** Waits for the greeting; gives nothing if the link closes or time passes. */
function waitForHandshake(
  link: Link,
  timeoutMs: number,
): Promise<ProcessIdentity | undefined> {
  const closed$ = link.closed$.pipe(map(() => undefined));
  const late$ = timer(timeoutMs).pipe(map(() => undefined));
  return firstValueFrom(merge(link.opened$, closed$, late$));
}

function createLinkNotOpenedError(): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.LinkClosed,
    'No link to the other proxy could be opened.',
    {outcome: Outcome.NotRun},
  );
}
