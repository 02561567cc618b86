import type {Socket} from 'node:net';
import type {Direction, NetworkModel} from './network-model.js';

/** Bytes that may be on their way before the source is paused. */
const MAXIMUM_BUFFERED_BYTES = 1_048_576;

/** Some bytes, or the end of the stream, on their way. */
interface DelayedChunk {
  readonly bytes: Buffer | undefined;
  readonly arrivesAtMs: number;
}

/** Carries the bytes of one direction of a connection, in order. */
export class DelayedPipe {
  private readonly chunks: DelayedChunk[] = [];
  private timer: NodeJS.Timeout | undefined;
  private bufferedBytes = 0;
  private lastArrivalAtMs = 0;
  private isBlackholed = false;

  /**
   * @param source - Where bytes come from.
   * @param target - Where they go.
   * @param direction - The same as IP addresses.
   * @param network - Decides when they arrive.
   * @param close - Closes both ends.
   */
  constructor(
    private readonly source: Socket,
    private readonly target: Socket,
    private readonly direction: Direction,
    private readonly network: NetworkModel,
    private readonly close: () => void,
  ) {
    source.on('data', bytes => this.enqueue(bytes));
    source.on('end', () => this.enqueue(undefined));
  }

  /** Delivers nothing from now on, for good. */
  blackhole(): void {
    this.isBlackholed = true;
    this.chunks.length = 0;
    clearTimeout(this.timer);
    this.source.resume();
  }

  private enqueue(bytes: Buffer | undefined): void {
    if (this.isBlackholed) return;
    const now = performance.now();
    const passage = this.network.scheduleDelivery(
      this.direction,
      bytes?.length ?? 0,
      now,
    );
    if (passage.kind === 'silent') {
      this.blackhole();
      return;
    }
    if (passage.kind === 'closed') {
      this.close();
      return;
    }
    this.lastArrivalAtMs = Math.max(this.lastArrivalAtMs, passage.at);
    this.bufferedBytes += bytes?.length ?? 0;
    this.chunks.push({bytes, arrivesAtMs: this.lastArrivalAtMs});
    if (this.bufferedBytes > MAXIMUM_BUFFERED_BYTES) this.source.pause();
    this.deliverDue();
  }

  /** Delivers what is due now, and the rest later. */
  private deliverDue(): void {
    clearTimeout(this.timer);
    const now = performance.now();
    while (this.chunks[0] !== undefined && this.chunks[0].arrivesAtMs <= now) {
      this.deliver(this.chunks[0]);
      this.chunks.shift();
    }
    const next = this.chunks[0];
    if (next === undefined) return;
    const waitMs = Math.max(1, Math.round(next.arrivesAtMs - now));
    this.timer = setTimeout(() => this.deliverDue(), waitMs);
  }

  private deliver({bytes}: DelayedChunk): void {
    if (bytes === undefined) {
      this.target.end();
      return;
    }
    this.bufferedBytes -= bytes.length;
    if (this.bufferedBytes <= MAXIMUM_BUFFERED_BYTES) this.source.resume();
    if (!this.target.destroyed) this.target.write(bytes);
  }
}
