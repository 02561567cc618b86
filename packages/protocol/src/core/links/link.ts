import type {Socket} from 'node:net';
import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {Observable} from 'rxjs';
import {ReplaySubject} from 'rxjs';
import type {Frame, HelloFrame} from '../frames/index.js';
import {
  addLengthPrefix,
  createFrameTooLongError,
  encodePayload,
  FrameKind,
  FrameReader,
  MAXIMUM_FRAME_BYTES,
  MAXIMUM_MESSAGE_BYTES,
  PROTOCOL_VERSION,
  SEGMENT_BYTES,
} from '../frames/index.js';
import {OutgoingMessages} from './outgoing-messages.js';
import {PendingRequests} from './pending-requests.js';
import type {LinkContext, LinkCounters, ProcessIdentity} from './types.js';

/** Most unsent bytes; the link is closed above this. */
const MAXIMUM_UNSENT_BYTES = 16_777_216;

/** Errors of bytes that are no frame. */
const FRAME_ERRORS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  ErrorKind.FrameTooLong,
  ErrorKind.FrameMalformed,
  ErrorKind.FrameUnknownKind,
]);

/** A socket between two proxies that carries many concurrent requests. */
export class Link {
  /** Counters of the link's traffic. */
  readonly counters: LinkCounters = {
    bytesSent: 0,
    bytesReceived: 0,
    framesSent: 0,
    framesReceived: 0,
    lateResponses: 0,
    failedRequests: 0,
    droppedNotifications: 0,
  };
  /** Monotonic and wall clock time at which the socket was created or accepted. */
  readonly openedAt = {steadyMs: performance.now(), wallMs: Date.now()};
  private readonly frameReader = new FrameReader();
  private readonly pendingRequests = new PendingRequests();
  private readonly opened = new ReplaySubject<ProcessIdentity>(1);
  private readonly closeErrors = new ReplaySubject<SapphiregladeError>(1);
  private readonly outgoingMessages: OutgoingMessages;
  /** Largest message that the peer accepts in segments, in bytes; 0 if it accepts none. */
  private peerMessageBytes = 0;
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
    this.outgoingMessages = new OutgoingMessages(socket, bytes =>
      this.write(bytes),
    );
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

  /** Largest message that can be sent to the peer, in bytes. */
  get maximumMessageBytes(): number {
    const segmentedBytes = Math.min(
      MAXIMUM_MESSAGE_BYTES,
      this.peerMessageBytes,
    );
    return Math.max(MAXIMUM_FRAME_BYTES, segmentedBytes);
  }

  /** Largest message that can be sent now, with those that wait, in bytes. */
  get acceptedMessageBytes(): number {
    if (this.peerMessageBytes === 0) return this.maximumMessageBytes;
    const {freeBytes} = this.outgoingMessages;
    return Math.max(
      SEGMENT_BYTES,
      Math.min(this.maximumMessageBytes, freeBytes),
    );
  }

  /**
   * Sends a request and waits for its response.
   *
   * @param body - One of the peer requests.
   * @param deadlineMs - How long to wait, in milliseconds.
   * @returns The body of the response, not yet validated.
   * @throws SapphiregladeError of kind `link-closed`, `frame-too-long`, `overloaded`
   *   or `internal` with outcome `not run` if nothing was sent; of kind
   *   `link-closed`, `link-silent` or `outcome-unknown` with outcome `unknown`
   *   otherwise.
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
    const frame = {
      kind: FrameKind.Request,
      clock: this.context.clock.tick(),
      correlation,
      deadlineMs,
      body,
    };
    try {
      this.send(frame, () => this.pendingRequests.has(correlation));
    } catch (error) {
      this.pendingRequests.fail(correlation, toUnsentError(error));
    }
    return response;
  }

  /** Sends a notification; it is dropped if the link is closed or it cannot be sent. */
  notify(body: unknown): void {
    const clock = this.context.clock.tick();
    try {
      this.send({kind: FrameKind.Notification, clock, body});
    } catch {
      this.counters.droppedNotifications += 1;
    }
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
      maximumMessageBytes: MAXIMUM_MESSAGE_BYTES,
      ...this.context.identity,
    });
  }

  /**
   * Sends a frame, in segments if it is long and the peer accepts them.
   *
   * @param frame - The frame.
   * @param isWanted - Returns whether a message in segments is still of use.
   * @throws SapphiregladeError of kind `frame-too-long` or `overloaded`, or an error
   *   of the encoder; nothing was sent then.
   */
  private send(frame: Frame, isWanted: () => boolean = () => true): void {
    if (this.isClosed) return;
    const payload = encodePayload(frame);
    const limit = this.maximumMessageBytes;
    if (payload.length > limit)
      throw createFrameTooLongError(payload.length, limit);
    if (this.peerMessageBytes > 0 && payload.length > SEGMENT_BYTES)
      this.outgoingMessages.add(payload, isWanted);
    else this.write(addLengthPrefix(payload));
  }

  private write(bytes: Buffer): void {
    if (this.isClosed) return;
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
      const isFrameError =
        error instanceof SapphiregladeError && FRAME_ERRORS.has(error.kind);
      // An error of a handler says nothing about the requests that were sent.
      this.closeWith(isFrameError ? error.kind : ErrorKind.Internal, error);
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
    this.peerMessageBytes = frame.maximumMessageBytes ?? 0;
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
    const endsAtMs = performance.now() + deadlineMs;
    const respond = (response: unknown): void => {
      const kind = FrameKind.Response;
      const frame = {kind, clock: clock.tick(), correlation, body: response};
      // The peer began to wait before the request arrived here.
      this.send(frame, () => performance.now() < endsAtMs);
    };
    try {
      respond(await handlers.onRequest(body, peer, deadlineMs, this));
    } catch {
      // The peer must not wait for its deadline; its caller decodes no reply from this.
      this.counters.failedRequests += 1;
      respond(undefined);
    }
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
    this.outgoingMessages.clear();
    const peer = this.peerIdentity?.process ?? 'an unknown process';
    const error = new SapphiregladeError(kind, `The link to ${peer} closed.`, {
      cause,
    });
    this.pendingRequests.failAll(error);
    this.closeErrors.next(error);
  }
}

/** Converts the failure to send a request; nothing of it has reached the peer. */
function toUnsentError(cause: unknown): SapphiregladeError {
  const outcome = Outcome.NotRun;
  if (!(cause instanceof SapphiregladeError)) {
    const message = 'The request could not be encoded.';
    return new SapphiregladeError(ErrorKind.Internal, message, {
      outcome,
      cause,
    });
  }
  return new SapphiregladeError(cause.kind, cause.message, {outcome, cause});
}
