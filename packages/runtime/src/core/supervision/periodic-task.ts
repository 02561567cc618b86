import {SupervisedTask} from './supervised-task.js';

/** A task that runs repeatedly, with a delay after each run. */
export abstract class PeriodicTask extends SupervisedTask {
  private timer: NodeJS.Timeout | undefined;
  private currentRun: Promise<void> | undefined;
  private isRunRequested = false;
  private isStopped = false;

  /** Starts the next run now, or right after the current one. */
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
   * Performs one run.
   *
   * @returns Delay until the next run, in milliseconds.
   */
  protected abstract runOnce(): Promise<number>;

  /** Allows runs; the first one starts when the task is running. */
  protected async onStart(): Promise<void> {
    this.isStopped = false;
  }

  protected override onRunning(): void {
    this.runNow();
  }

  /** Prevents further runs; a run in progress finishes by itself. */
  protected async onStop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /** Whether the task was requested to stop. */
  protected get isStopRequested(): boolean {
    return this.isStopped;
  }

  private async runAndReschedule(): Promise<void> {
    try {
      const delayMs = await this.runOnce();
      this.currentRun = undefined;
      if (this.isStopped) return;
      const shouldRunNow = this.isRunRequested;
      this.isRunRequested = false;
      this.timer = setTimeout(() => this.runNow(), shouldRunNow ? 0 : delayMs);
    } catch (error) {
      this.fail(error instanceof Error ? error : new Error(String(error)));
    }
  }
}
