const MS_PER_SECOND = 1_000;

/** Bandwidth-limited link from one region to another, shared by all traffic. */
export class RegionLink {
  private availableAtMs = 0;
  private carried = 0;

  /** @param bytesPerSecond - Bandwidth, in bytes per second. */
  constructor(private readonly bytesPerSecond: number) {}

  /** Bytes sent since the start. */
  get carriedBytes(): number {
    return this.carried;
  }

  /**
   * Reserves transmission time on the link.
   *
   * @param bytes - Number of bytes.
   * @param now - Monotonic time, in milliseconds.
   * @returns Monotonic time at which the last byte is sent, in milliseconds.
   */
  reserve(bytes: number, now: number): number {
    const startsAt = Math.max(now, this.availableAtMs);
    this.availableAtMs =
      startsAt + (bytes / this.bytesPerSecond) * MS_PER_SECOND;
    this.carried += bytes;
    return this.availableAtMs;
  }
}
