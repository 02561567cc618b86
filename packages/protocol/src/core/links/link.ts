import type {Socket} from 'node:net';
import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {Observable} from 'rxjs';
import {ReplaySubject} from 'rxjs';
import type {Frame, HelloFrame} from '../frames/index.js';
import {
  encodeFrame,
  FrameKind,
  FrameReader,
  PROTOCOL_VERSION,
} from '../frames/index.js';
import {PendingRequests} from './pending-requests.js';
import type {LinkContext, LinkCounters, ProcessIdentity} from './types.js';

/** Most unsent bytes; the link is closed above this. */
const MAXIMUM_UNSENT_BYTES = 16_777_216;

/** A socket between two proxies that carries many concurrent requests. */
export class Link {
  /** Counters of the link's traffic. */
  readonly counters: LinkCounters = {
    bytesSent: 0,
    bytesReceived: 0,
    framesSent: 0,
    framesReceived: 0,
    lateResponses: 0,
  };
  /** Monotonic and wall clock time at which the socket was created or accepted. */
  readonly openedAt = {steadyMs: performance.now(), wallMs: Date.now()};
  private readonly frameReader = new FrameReader();
  private readonly pendingRequests = new PendingRequests();
  private readonly opened = new ReplaySubject<ProcessIdentity>(1);
  private readonly closeErrors = new ReplaySubject<SapphiregladeError>(1);
  private keepaliveTimer: NodeJS.Timeout | undefined;
  private idleTimer: NodeJS.Timeout | undefined;
  private peerIdentity: ProcessIdentity | undefined;
  private lastFrameReceivedAtMs = performance.now();
  private lastActivityAtMs = performance.now();
  private isClosed = false;

  /**
   * @param socket - The socket; the link takes ownership of it.
   * @param context - Configuration shared by all links of this process.
   */
  constructor(
    private readonly socket: Socket,
    private readonly context: LinkContext,
  ) {
    socket.setNoDelay(true);
    socket.on('data', chunk => this.onData(chunk));
    socket.on('error', error => this.closeWith(ErrorKind.LinkClosed, error));
    socket.on('close', () => this.closeWith(ErrorKind.LinkClosed));
    if (context.timings.shouldPingIdleLinks) this.startKeepaliveTimer();
    this.startIdleTimer();
    this.sendHello();
  }

  /** Emits the identity of the peer once its hello frame arrives. */
  get opened$(): Observable<ProcessIdentity> {
    return this.opened;
  }

  /** Emits the reason once the link closes. */
  get closed$(): Observable<SapphiregladeError> {
    return this.closeErrors;
  }

  /** The identity of the peer, once its hello frame has arrived. */
  get peer(): ProcessIdentity | undefined {
    return this.peerIdentity;
  }

  /** Whether frames can be sent. */
  get isOpen(): boolean {
    return !this.isClosed && this.peerIdentity !== undefined;
  }

  /**
   * Sends a request and waits for its response.
   *
   * @param body - One of the peer requests.
   * @param deadlineMs - How long to wait, in milliseconds.
   * @returns The body of the response, not yet validated.
   * @throws SapphiregladeError of kind `link-closed` with outcome `not run` if
   *   nothing was sent; of kind `link-closed`, `link-silent` or
   *   `outcome-unknown` with outcome `unknown` otherwise.
   */
  request(body: unknown, deadlineMs: number): Promise<unknown> {
    if (this.isClosed) {
      return Promise.reject(
        new SapphiregladeError(ErrorKind.LinkClosed, 'The link is closed.', {
          outcome: Outcome.NotRun,
        }),
      );
    }
    if (this.keepaliveTimer === undefined) {
      // The time without frames before this request doesn't count as silence of the peer.
      this.lastFrameReceivedAtMs = performance.now();
      this.startKeepaliveTimer();
    }
    const {correlation, answer: response} =
      this.pendingRequests.add(deadlineMs);
    this.send({
      kind: FrameKind.Request,
      clock: this.context.clock.tick(),
      correlation,
      deadlineMs,
      body,
    });
    return response;
  }

  /** Sends a notification; it is dropped if the link is closed. */
  notify(body: unknown): void {
    this.send({
      kind: FrameKind.Notification,
      clock: this.context.clock.tick(),
      body,
    });
  }

  /** Closes the link. */
  close(): void {
    this.closeWith(ErrorKind.LinkClosed);
  }

  private sendHello(): void {
    this.send({
      kind: FrameKind.Hello,
      clock: this.context.clock.tick(),
      version: PROTOCOL_VERSION,
      ...this.context.identity,
    });
  }

  private send(frame: Frame): void {
    if (this.isClosed) return;
    const bytes = encodeFrame(frame);
    this.counters.bytesSent += bytes.length;
    this.counters.framesSent += 1;
    this.lastActivityAtMs = performance.now();
    this.socket.write(bytes);
    if (this.socket.writableLength > MAXIMUM_UNSENT_BYTES) {
      this.closeWith(ErrorKind.LinkUnresponsive);
    }
  }

  private onData(chunk: Buffer): void {
    this.counters.bytesReceived += chunk.length;
    this.lastFrameReceivedAtMs = performance.now();
    this.lastActivityAtMs = this.lastFrameReceivedAtMs;
    try {
      for (const frame of this.frameReader.push(chunk)) this.onFrame(frame);
    } catch (error) {
      if (!(error instanceof SapphiregladeError)) throw error;
      this.closeWith(error.kind, error);
    }
  }

  private onFrame(frame: Frame): void {
    this.counters.framesReceived += 1;
    this.context.clock.receive(frame.clock);
    if (frame.kind === FrameKind.Hello) {
      this.onHello(frame);
      return;
    }
    const peer = this.peerIdentity;
    if (peer === undefined) {
      this.closeWith(ErrorKind.FrameMalformed);
      return;
    }
    this.onPeerFrame(frame, peer);
  }

  private onPeerFrame(
    frame: Exclude<Frame, HelloFrame>,
    peer: ProcessIdentity,
  ): void {
    switch (frame.kind) {
      case FrameKind.Ping:
        this.send({kind: FrameKind.Pong, clock: this.context.clock.tick()});
        return;
      case FrameKind.Pong:
        return;
      case FrameKind.Response:
        if (!this.pendingRequests.settle(frame.correlation, frame.body)) {
          this.counters.lateResponses += 1;
        }
        return;
      case FrameKind.Notification:
        this.context.handlers.onNotification(frame.body, peer);
        return;
      case FrameKind.Request:
        void this.answer(frame.correlation, frame.body, peer, frame.deadlineMs);
        return;
    }
  }

  private onHello(frame: HelloFrame): void {
    if (frame.version !== PROTOCOL_VERSION) {
      this.closeWith(ErrorKind.FrameUnknownKind);
      return;
    }
    const {process, boot, zone} = frame;
    this.peerIdentity = {process, boot, zone};
    this.opened.next(this.peerIdentity);
  }

  private async answer(
    correlation: number,
    body: unknown,
    peer: ProcessIdentity,
    deadlineMs: number,
  ): Promise<void> {
    const {clock, handlers} = this.context;
    const response = await handlers.onRequest(body, peer, deadlineMs, this);
    this.send({
      kind: FrameKind.Response,
      clock: clock.tick(),
      correlation,
      body: response,
    });
  }

  private startKeepaliveTimer(): void {
    const {keepaliveIntervalMs} = this.context.timings;
    this.keepaliveTimer = setInterval(
      () => this.checkKeepalive(),
      keepaliveIntervalMs,
    );
    this.keepaliveTimer.unref();
  }

  /** Starts the timer that closes the link after the idle timeout. */
  private startIdleTimer(): void {
    const {idleTimeoutMs} = this.context.timings;
    if (idleTimeoutMs === undefined) return;
    this.idleTimer = setInterval(() => {
      const isIdle =
        this.pendingRequests.size === 0 &&
        performance.now() - this.lastActivityAtMs >= idleTimeoutMs;
      if (isIdle) this.closeWith(ErrorKind.LinkClosed);
    }, idleTimeoutMs);
    this.idleTimer.unref();
  }

  private checkKeepalive(): void {
    const {keepaliveIntervalMs, keepaliveTimeoutMs, shouldPingIdleLinks} =
      this.context.timings;
    if (!shouldPingIdleLinks && this.pendingRequests.size === 0) {
      clearInterval(this.keepaliveTimer);
      this.keepaliveTimer = undefined;
      return;
    }
    const silentMs = performance.now() - this.lastFrameReceivedAtMs;
    if (silentMs >= keepaliveTimeoutMs) {
      this.closeWith(ErrorKind.LinkUnresponsive);
      return;
    }
    if (silentMs < keepaliveIntervalMs) return;
    this.send({kind: FrameKind.Ping, clock: this.context.clock.tick()});
  }

  private closeWith(kind: ErrorKind, cause?: unknown): void {
    if (this.isClosed) return;
    this.isClosed = true;
    clearInterval(this.keepaliveTimer);
    clearInterval(this.idleTimer);
    this.socket.destroy();
    const peer = this.peerIdentity?.process ?? 'an unknown process';
    const error = new SapphiregladeError(kind, `The link to ${peer} closed.`, {
      cause,
    });
    this.pendingRequests.failAll(error);
    this.closeErrors.next(error);
  }
}
