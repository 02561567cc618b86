import type {ClockReading} from '@sapphireglade/decisions';
import {elapsedMs} from '@sapphireglade/decisions';

/** When the store last confirmed the view of a group. */
export class StoreConfirmation {
  private recordAt: ClockReading | undefined;
  private viewAt: ClockReading | undefined;

  /**
   * When the last request was sent whose response confirmed the stored record as
   * newest, in milliseconds of the steady clock.
   */
  get recordAtMs(): number {
    return this.recordAt?.steadyMs ?? -Infinity;
  }

  /** Handles a response that confirmed the stored record as newest. */
  onRecordConfirmed(sentAt: ClockReading): void {
    this.recordAt = sentAt;
  }

  /** Handles a response that prolonged the view. */
  onViewProlonged(sentAt: ClockReading): void {
    this.viewAt = sentAt;
  }

  /** Returns whether the store prolonged the view within a time, in milliseconds. */
  hasProlongedWithin(milliseconds: number, now: ClockReading): boolean {
    return (
      this.viewAt !== undefined && elapsedMs(this.viewAt, now) < milliseconds
    );
  }
}
