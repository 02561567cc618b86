/** Progress of a change of primary, in milliseconds of the process clock. */
export interface ChangeProgress {
  /** When the change was announced. */
  readonly beganAtMs: number;
  /** Whether the primary was replaced while it still worked. */
  readonly isPlanned: boolean;
  /** When the target was recorded; undefined if it was not. */
  readonly targetAtMs: number | undefined;
}

/** Number of latest durations from which a step is predicted. */
const REMEMBERED_DURATIONS = 5;

/** Factor by which a step may exceed the longest remembered one and still count as usual. */
const TOLERANCE_FACTOR = 1.1;

/** Factor that applies once a step takes longer than usual. */
const SLOW_FACTOR = 2;

/** Predicts one step of a change from earlier ones. */
class StepDuration {
  private readonly observedMs: number[] = [];

  /** @param assumedMs - Durations to expect before one was observed; the next applies once one has passed. */
  constructor(private readonly assumedMs: readonly number[]) {}

  record(durationMs: number): void {
    this.observedMs.push(durationMs);
    if (this.observedMs.length > REMEMBERED_DURATIONS) this.observedMs.shift();
  }

  /** Returns the expected duration of a step that has taken some time already. */
  expectedMs(passedMs: number): number {
    const options = this.expectations;
    return (
      options.find(durationMs => durationMs >= passedMs) ??
      options.at(-1) ??
      passedMs
    );
  }

  private get expectations(): readonly number[] {
    if (this.observedMs.length === 0) return this.assumedMs;
    const longestMs = Math.max(...this.observedMs);
    return [longestMs * TOLERANCE_FACTOR, longestMs * SLOW_FACTOR];
  }
}

/**
 * Predicts when a change of primary ends.
 *
 * Answers requests that need a primary while it is replaced: a request waits
 * only if the change will probably end within its time, and the others are told
 * when to return. How long the platform and the instances take is learned from
 * the changes that this process has seen.
 */
export class ChangeExpectation {
  /** From the record of the target until it is the primary. */
  private readonly promotion = new StepDuration([700, 1_400]);
  /** From the start of a planned change to the choice; transactions may end first. */
  private readonly plannedChoice = new StepDuration([200, 500]);
  /** From a failure to the choice; views of proxies that failed as well expire first. */
  private readonly choice = new StepDuration([300, 1_100]);

  /** Records that the target of a change was chosen. */
  recordChoice({beganAtMs, isPlanned}: ChangeProgress, nowMs: number): void {
    const step = isPlanned ? this.plannedChoice : this.choice;
    step.record(nowMs - beganAtMs);
  }

  /** Records that the target of a change became the primary. */
  recordPromotion({targetAtMs}: ChangeProgress, nowMs: number): void {
    if (targetAtMs !== undefined) this.promotion.record(nowMs - targetAtMs);
  }

  /**
   * Predicts the end of a change.
   *
   * @param progress - The progress of the change.
   * @param nowMs - The time, in milliseconds of the process clock.
   * @returns The time of the end, in milliseconds; in the past if the change
   *   takes longer than any that was seen.
   */
  endsAtMs(progress: ChangeProgress, nowMs: number): number {
    const {beganAtMs, isPlanned, targetAtMs} = progress;
    if (targetAtMs !== undefined)
      return targetAtMs + this.promotion.expectedMs(nowMs - targetAtMs);
    const step = isPlanned ? this.plannedChoice : this.choice;
    return (
      beganAtMs +
      step.expectedMs(nowMs - beganAtMs) +
      this.promotion.expectedMs(0)
    );
  }
}
