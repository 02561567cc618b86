import {setTimeout as sleep} from 'node:timers/promises';

/** Limits concurrent statements to a number of slots; others wait in order. */
export class SlotQueue {
  private readonly waiting: Array<() => void> = [];
  private busySlots = 0;

  /** @param slots - Maximum number of concurrent statements. */
  constructor(private readonly slots: number) {}

  /** Number of occupied slots. */
  get busyCount(): number {
    return this.busySlots;
  }

  /** Number of statements that wait for a slot. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /**
   * Waits for a slot and occupies it for the service time.
   *
   * @param serviceMs - Service time, in milliseconds.
   * @returns Time spent waiting for the slot, in milliseconds.
   */
  async holdSlot(serviceMs: number): Promise<number> {
    const arrivedAt = performance.now();
    await this.acquireSlot();
    const waitedMs = performance.now() - arrivedAt;
    if (serviceMs > 0) await sleep(serviceMs);
    this.releaseSlot();
    return waitedMs;
  }

  private async acquireSlot(): Promise<void> {
    if (this.busySlots < this.slots) {
      this.busySlots += 1;
      return;
    }
    await new Promise<void>(resolve => this.waiting.push(resolve));
  }

  /** Passes the slot to the next waiting statement, or frees it. */
  private releaseSlot(): void {
    const next = this.waiting.shift();
    if (next !== undefined) {
      next();
      return;
    }
    this.busySlots -= 1;
  }
}
