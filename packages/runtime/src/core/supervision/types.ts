/** States in the lifecycle of a task. */
export const TaskState = {
  Created: 'created',
  Starting: 'starting',
  Running: 'running',
  Stopping: 'stopping',
  Stopped: 'stopped',
  Failed: 'failed',
} as const;

/** The state of a task. */
export type TaskState = (typeof TaskState)[keyof typeof TaskState];

/** Limits and delays of the restarts of a failed child. */
export interface RestartPolicy {
  /** Delay before the first restart, in milliseconds; doubles with each failure. */
  readonly initialBackoffMs: number;
  /** Longest delay before a restart, in milliseconds. */
  readonly maximumBackoffMs: number;
  /** More failures than this within the window fail the supervisor. */
  readonly maximumFailures: number;
  /** Length of the window, in milliseconds. */
  readonly failureWindowMs: number;
}

/** Report of the failure of a supervisor's child. */
export interface ChildFailureReport {
  /** Name of the child. */
  readonly child: string;
  /** Reason of the failure. */
  readonly reason: string;
  /** Delay until its restart, in milliseconds; null if it is not restarted. */
  readonly restartDelayMs: number | null;
}
