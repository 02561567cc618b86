const MS_PER_SECOND = 1_000;

/** The link from one region to another, which all traffic shares. */
export class RegionLink {
  private availableAtMs = 0;
  private carried = 0;

  /** @param bytesPerSecond - How many bytes it carries in a second. */
  constructor(private readonly bytesPerSecond: number) {}

  /** Bytes carried since the start. */
  get carriedBytes(): number {
    return this.carried;
  }

  /**
   * Books the link for some bytes.
   *
   * @param bytes - How many bytes.
   * @param now - Monotonic time, in milliseconds.
   * @returns When the last of them has left, in milliseconds.
   */
  reserve(bytes: number, now: number): number {
    const startsAt = Math.max(now, this.availableAtMs);
    this.availableAtMs =
      startsAt + (bytes / this.bytesPerSecond) * MS_PER_SECOND;
    this.carried += bytes;
    return this.availableAtMs;
  }
}
