import {setTimeout as sleep} from 'node:timers/promises';

/** Runs statements in a few slots; the rest wait in the order of arrival. */
export class SlotQueue {
  private readonly waiting: Array<() => void> = [];
  private busySlots = 0;

  /** @param slots - How many statements run at the same time. */
  constructor(private readonly slots: number) {}

  /** Statements that run now. */
  get busyCount(): number {
    return this.busySlots;
  }

  /** Statements that wait now. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /**
   * Takes a slot for a time.
   *
   * @param serviceMs - How long the slot is taken, in milliseconds.
   * @returns How long the wait for the slot was, in milliseconds.
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

  /** Hands the slot to the next statement, or frees it. */
  private releaseSlot(): void {
    const next = this.waiting.shift();
    if (next !== undefined) {
      next();
      return;
    }
    this.busySlots -= 1;
  }
}
