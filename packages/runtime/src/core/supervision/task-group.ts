import type {Subscription} from 'rxjs';
import {SupervisedTask} from './supervised-task.js';
import {TaskState} from './types.js';

/**
 * Tasks that depend on each other: when one fails, all are stopped and the
 * group fails, so that its supervisor makes a new group with new tasks.
 */
export class TaskGroup extends SupervisedTask {
  private subscriptions: Subscription[] = [];

  /**
   * @param name - Name for logs.
   * @param children - The tasks, in the order of their start.
   */
  constructor(
    name: string,
    private readonly children: readonly SupervisedTask[],
  ) {
    super(name);
  }

  /** Starts the tasks one after another. */
  protected async onStart(): Promise<void> {
    this.subscriptions = this.children.map(child =>
      child.failures$.subscribe(error => this.fail(error)),
    );
    for (const child of this.children) await child.start();
  }

  /** Stops the tasks in reverse order, each with the time that is left. */
  protected async onStop(deadlineMs: number): Promise<void> {
    const endAtMs = performance.now() + deadlineMs;
    for (const subscription of this.subscriptions) subscription.unsubscribe();
    for (const child of [...this.children].reverse()) {
      if (child.state === TaskState.Created) continue;
      await child.stop(Math.max(0, endAtMs - performance.now()));
    }
  }
}
