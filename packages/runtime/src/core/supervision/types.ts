/** Where a task is in its life. */
export const TaskState = {
  Created: 'created',
  Starting: 'starting',
  Running: 'running',
  Stopping: 'stopping',
  Stopped: 'stopped',
  Failed: 'failed',
} as const;

/** One of the states. */
export type TaskState = (typeof TaskState)[keyof typeof TaskState];

/** When a failed child is started again. */
export interface RestartPolicy {
  /** Wait before the first restart, in milliseconds; doubles each time. */
  readonly initialBackoffMs: number;
  /** Longest wait, in milliseconds. */
  readonly maximumBackoffMs: number;
  /** More failures than this within the window fail the supervisor. */
  readonly maximumFailures: number;
  /** Length of the window, in milliseconds. */
  readonly failureWindowMs: number;
}

/** What a supervisor tells of its children. */
export interface ChildFailureReport {
  /** Name of the child. */
  readonly child: string;
  /** Why it failed. */
  readonly reason: string;
  /** When it is started again, in milliseconds from now; null if never. */
  readonly restartDelayMs: number | null;
}
