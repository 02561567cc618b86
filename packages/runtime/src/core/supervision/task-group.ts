import type {Subscription} from 'rxjs';
import {SupervisedTask} from './supervised-task.js';
import {TaskState} from './types.js';

/**
 * Tasks that depend on each other: if one fails, the group fails, so that its
 * supervisor stops all of them and creates a new group with new tasks.
 */
export class TaskGroup extends SupervisedTask {
  private subscriptions: Subscription[] = [];

  /**
   * @param name - Name for logs.
   * @param children - The tasks, in start order.
   */
  constructor(
    name: string,
    private readonly children: readonly SupervisedTask[],
  ) {
    super(name);
  }

  /** Starts the tasks one at a time, in order. */
  protected async onStart(): Promise<void> {
    this.subscriptions = this.children.map(child =>
      child.failures$.subscribe(error => this.fail(error)),
    );
    for (const child of this.children) await child.start();
  }

  /** Stops the tasks in reverse order, each with the remaining time. */
  protected async onStop(deadlineMs: number): Promise<void> {
    const endAtMs = performance.now() + deadlineMs;
    for (const subscription of this.subscriptions) subscription.unsubscribe();
    for (const child of [...this.children].reverse()) {
      if (child.state === TaskState.Created) continue;
      await child.stop(Math.max(0, endAtMs - performance.now()));
    }
  }
}
