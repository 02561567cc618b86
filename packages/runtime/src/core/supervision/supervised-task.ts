import type {Observable} from 'rxjs';
import {Subject} from 'rxjs';
import {TaskState} from './types.js';

/** A task that a supervisor starts and stops, and that may fail. */
export abstract class SupervisedTask {
  private readonly failures = new Subject<Error>();
  private current: TaskState = TaskState.Created;

  /** @param name - Name for logs, unique among its siblings. */
  constructor(readonly name: string) {}

  /** Emits the error that caused the task to fail. */
  get failures$(): Observable<Error> {
    return this.failures;
  }

  /** The current state of the task. */
  get state(): TaskState {
    return this.current;
  }

  /** Starts the task; resolves once it is running. */
  async start(): Promise<void> {
    this.current = TaskState.Starting;
    await this.onStart();
    this.current = TaskState.Running;
    this.onRunning();
  }

  /**
   * Stops the task and closes its resources.
   *
   * @param deadlineMs - Time limit for work in progress, in milliseconds.
   */
  async stop(deadlineMs: number): Promise<void> {
    if (this.current === TaskState.Stopped) return;
    this.current = TaskState.Stopping;
    await this.onStop(deadlineMs);
    this.current = TaskState.Stopped;
  }

  /** Opens the task's resources. */
  protected abstract onStart(): Promise<void>;

  /** Closes the task's resources within the deadline. */
  protected abstract onStop(deadlineMs: number): Promise<void>;

  /** Called once the task is running. */
  protected onRunning(): void {
    return undefined;
  }

  /** Fails the task with an error, which is emitted to its supervisor. */
  protected fail(error: Error): void {
    if (this.current === TaskState.Failed) return;
    this.current = TaskState.Failed;
    this.failures.next(error);
  }
}
