import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {
  LinkHandlers,
  ProcessIdentity,
  PeerNotification,
  PeerRequest,
} from '@sapphireglade/protocol';
import {
  peerNotificationSchema,
  peerRequestSchema,
} from '@sapphireglade/protocol';
import type {Logger} from '@sapphireglade/runtime';
import type {Observable} from 'rxjs';
import {Subject} from 'rxjs';

/** A notification with its sender. */
export interface ReceivedNotification {
  readonly notice: PeerNotification;
  readonly peer: ProcessIdentity;
}

/** Handles requests of one type and returns the response. */
export type PeerRequestHandler = (
  request: PeerRequest,
  peer: ProcessIdentity,
  deadlineMs: number,
) => Promise<unknown>;

/**
 * Time subtracted from a deadline for the transfer of the answer, in
 * milliseconds.
 */
const RESPONSE_LATENCY_MS = 20;

/** Maximum fraction of a deadline that is subtracted. */
const MAXIMUM_LATENCY_FRACTION = 0.2;

/**
 * Validates messages received on links and dispatches them to their handlers.
 */
export class PeerDispatcher implements LinkHandlers {
  private readonly handlers = new Map<
    PeerRequest['type'],
    PeerRequestHandler
  >();
  private readonly notifications = new Subject<ReceivedNotification>();

  /** @param log - Logs rejected messages. */
  constructor(private readonly log: Logger) {}

  /** Emits each valid notification. */
  get notifications$(): Observable<ReceivedNotification> {
    return this.notifications;
  }

  /** Registers the handler of the given request types. */
  register(
    types: ReadonlyArray<PeerRequest['type']>,
    handler: PeerRequestHandler,
  ): void {
    for (const type of types) this.handlers.set(type, handler);
  }

  async onRequest(
    body: unknown,
    peer: ProcessIdentity,
    deadlineMs: number,
  ): Promise<unknown> {
    const parsed = peerRequestSchema.safeParse(body);
    if (!parsed.success) {
      this.log.warn('An invalid request from a peer was rejected.', {
        peer: peer.process,
      });
      return undefined;
    }
    const handler = this.handlers.get(parsed.data.type);
    if (handler === undefined) {
      throw new SapphiregladeError(
        ErrorKind.Internal,
        `No handler is registered for ${parsed.data.type}.`,
      );
    }
    try {
      return await handler(parsed.data, peer, processingTimeMs(deadlineMs));
    } catch (error) {
      this.log.error('The handler of a request from a peer failed.', {
        peer: peer.process,
        type: parsed.data.type,
        error: String(error),
      });
      throw error;
    }
  }

  onNotification(body: unknown, peer: ProcessIdentity): void {
    const parsed = peerNotificationSchema.safeParse(body);
    if (!parsed.success) {
      this.log.warn('An invalid notification from a peer was dropped.', {
        peer: peer.process,
      });
      return;
    }
    this.notifications.next({notice: parsed.data, peer});
  }
}

/**
 * Returns the time to process a request, which leaves time for the answer to
 * reach the peer. An answer that arrives after the peer's own deadline turns a
 * known outcome into an unknown one.
 *
 * @param deadlineMs - Time that the peer waits, in milliseconds.
 */
function processingTimeMs(deadlineMs: number): number {
  const latencyMs = Math.min(
    RESPONSE_LATENCY_MS,
    deadlineMs * MAXIMUM_LATENCY_FRACTION,
  );
  return deadlineMs - latencyMs;
}
