import type {HybridTimestamp} from '@sapphireglade/decisions';
import {
  mergeRemoteTimestamp,
  advanceTimestamp,
  ZERO_TIMESTAMP,
} from '@sapphireglade/decisions';

/** The hybrid logical clock of one process. */
export class HybridLogicalClock {
  private latest: HybridTimestamp = ZERO_TIMESTAMP;

  /** @param wallClock - Returns the wall clock time, in milliseconds. */
  constructor(private readonly wallClock: () => number = Date.now) {}

  /** Advances the clock for a local event or before a frame is sent. */
  tick(): HybridTimestamp {
    this.latest = advanceTimestamp(this.latest, this.wallClock());
    return this.latest;
  }

  /** Advances the clock by the timestamp of a received frame. */
  receive(remote: HybridTimestamp): void {
    this.latest = mergeRemoteTimestamp(this.latest, remote, this.wallClock());
  }
}
