import type {Socket} from 'node:net';
import type {Direction, NetworkModel} from './network-model.js';

/** Bytes in transit above which the source is paused. */
const MAXIMUM_BUFFERED_BYTES = 1_048_576;

/** Bytes in transit; undefined bytes mark the end of the stream. */
interface DelayedChunk {
  readonly bytes: Buffer | undefined;
  readonly arrivesAtMs: number;
}

/** Forwards the bytes of one direction of a connection in order, delayed. */
export class DelayedPipe {
  private readonly chunks: DelayedChunk[] = [];
  private timer: NodeJS.Timeout | undefined;
  private bufferedBytes = 0;
  private lastArrivalAtMs = 0;
  private isBlackholed = false;

  /**
   * @param source - Socket from which bytes are read.
   * @param target - Socket to which they are written.
   * @param direction - IP addresses of both ends.
   * @param network - Schedules the delivery of each chunk.
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

  /** Drops pending and future bytes for good. */
  blackhole(): void {
    this.isBlackholed = true;
    this.chunks.length = 0;
    clearTimeout(this.timer);
    this.source.resume();
  }

  private enqueue(bytes: Buffer | undefined): void {
    if (this.isBlackholed) return;
    const now = performance.now();
    const delivery = this.network.scheduleDelivery(
      this.direction,
      bytes?.length ?? 0,
      now,
    );
    if (delivery.kind === 'silent') {
      this.blackhole();
      return;
    }
    if (delivery.kind === 'closed') {
      this.close();
      return;
    }
    this.lastArrivalAtMs = Math.max(this.lastArrivalAtMs, delivery.at);
    this.bufferedBytes += bytes?.length ?? 0;
    this.chunks.push({bytes, arrivesAtMs: this.lastArrivalAtMs});
    if (this.bufferedBytes > MAXIMUM_BUFFERED_BYTES) this.source.pause();
    this.deliverDue();
  }

  /** Delivers the chunks that are due and sets a timer for the next one. */
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
