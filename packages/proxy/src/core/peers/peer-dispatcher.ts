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

/** A notice with its sender. */
export interface ReceivedNotification {
  readonly notice: PeerNotification;
  readonly peer: ProcessIdentity;
}

/** Answers one type of request. */
export type PeerRequestHandler = (
  request: PeerRequest,
  peer: ProcessIdentity,
  deadlineMs: number,
) => Promise<unknown>;

/** Time taken off a deadline, so that the answer travels back in time. */
const RESPONSE_LATENCY_MS = 20;

/** Most of a deadline that is taken off. */
const MAXIMUM_LATENCY_FRACTION = 0.2;

/** Checks what arrives on links and hands it to the task in charge. */
export class PeerDispatcher implements LinkHandlers {
  private readonly handlers = new Map<
    PeerRequest['type'],
    PeerRequestHandler
  >();
  private readonly notifications = new Subject<ReceivedNotification>();

  /** @param log - Where refused messages are logged. */
  constructor(private readonly log: Logger) {}

  /** Emits each notice that passed the check. */
  get notifications$(): Observable<ReceivedNotification> {
    return this.notifications;
  }

  /** Sets the handler for some types of request. */
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
      this.log.warn('A request of a peer was refused.', {peer: peer.process});
      return undefined;
    }
    const handler = this.handlers.get(parsed.data.type);
    if (handler === undefined) {
      throw new SapphiregladeError(
        ErrorKind.Internal,
        `Nothing handles ${parsed.data.type}.`,
      );
    }
    return handler(parsed.data, peer, processingTimeMs(deadlineMs));
  }

  onNotification(body: unknown, peer: ProcessIdentity): void {
    const parsed = peerNotificationSchema.safeParse(body);
    if (!parsed.success) {
      this.log.warn('A notice of a peer was refused.', {peer: peer.process});
      return;
    }
    this.notifications.next({notice: parsed.data, peer});
  }
}

/**
 * Leaves time for the answer to reach the peer: an answer that comes after the
 * peer's own deadline turns a known outcome into an unknown one.
 *
 * @param deadlineMs - How long the peer waits, in milliseconds.
 */
function processingTimeMs(deadlineMs: number): number {
  const travelMs = Math.min(
    RESPONSE_LATENCY_MS,
    deadlineMs * MAXIMUM_LATENCY_FRACTION,
  );
  return deadlineMs - travelMs;
}
