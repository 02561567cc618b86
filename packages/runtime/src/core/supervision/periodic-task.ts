import {SupervisedTask} from './supervised-task.js';

/** A task that takes a turn, waits, and takes the next one. */
export abstract class PeriodicTask extends SupervisedTask {
  private timer: NodeJS.Timeout | undefined;
  private currentRun: Promise<void> | undefined;
  private isRunRequested = false;
  private isStopped = false;

  /** Takes the next turn now, or right after the one that runs. */
  runNow(): void {
    if (this.isStopped) return;
    if (this.currentRun !== undefined) {
      this.isRunRequested = true;
      return;
    }
    clearTimeout(this.timer);
    this.currentRun = this.runAndReschedule();
  }

  /**
   * Takes one turn.
   *
   * @returns How long to wait before the next, in milliseconds.
   */
  protected abstract runOnce(): Promise<number>;

  /** Begins with the first turn. */
  protected async onStart(): Promise<void> {
    this.isStopped = false;
  }

  protected override onRunning(): void {
    this.runNow();
  }

  /** Takes no more turns; one that runs is left to end by itself. */
  protected async onStop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /** Whether the task was told to stop. */
  protected get isStopRequested(): boolean {
    return this.isStopped;
  }

  private async runAndReschedule(): Promise<void> {
    try {
      const delayMs = await this.runOnce();
      this.currentRun = undefined;
      if (this.isStopped) return;
      const isNow = this.isRunRequested;
      this.isRunRequested = false;
      this.timer = setTimeout(() => this.runNow(), isNow ? 0 : delayMs);
    } catch (error) {
      this.fail(error instanceof Error ? error : new Error(String(error)));
    }
  }
}
