import type {Observable} from 'rxjs';
import {Subject} from 'rxjs';
import {TaskState} from './types.js';

/** What a supervisor needs of a task: it starts, stops and may fail. */
export abstract class SupervisedTask {
  private readonly failures = new Subject<Error>();
  private current: TaskState = TaskState.Created;

  /** @param name - Name for logs, unique among its siblings. */
  constructor(readonly name: string) {}

  /** Emits the error that ended the task. */
  get failures$(): Observable<Error> {
    return this.failures;
  }

  /** Where the task is in its life. */
  get state(): TaskState {
    return this.current;
  }

  /** Starts the task; resolves when it is able to work. */
  async start(): Promise<void> {
    this.current = TaskState.Starting;
    await this.onStart();
    this.current = TaskState.Running;
    this.onRunning();
  }

  /**
   * Stops the task and closes what it owns.
   *
   * @param deadlineMs - How long work in progress may go on, in milliseconds.
   */
  async stop(deadlineMs: number): Promise<void> {
    if (this.current === TaskState.Stopped) return;
    this.current = TaskState.Stopping;
    await this.onStop(deadlineMs);
    this.current = TaskState.Stopped;
  }

  /** Opens what the task owns. */
  protected abstract onStart(): Promise<void>;

  /** Closes what the task owns, within the deadline. */
  protected abstract onStop(deadlineMs: number): Promise<void>;

  /** Called when the task has begun to run. */
  protected onRunning(): void {
    return undefined;
  }

  /** Ends the task with an error, which its supervisor receives. */
  protected fail(error: Error): void {
    if (this.current === TaskState.Failed) return;
    this.current = TaskState.Failed;
    this.failures.next(error);
  }
}
