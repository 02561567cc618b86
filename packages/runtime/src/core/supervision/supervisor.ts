import type {Observable, Subscription} from 'rxjs';
import {Subject} from 'rxjs';
import type {Logger} from '../logging/index.js';
import type {FailureHistory} from './restart-decision.js';
import {decideRestart} from './restart-decision.js';
import {TaskLifecycle} from './task-lifecycle.js';
import type {ChildSpecification} from './child-specification.js';
import type {RestartPolicy, SupervisorReport} from './types.js';
import {TaskState} from './types.js';

/** How often and how fast a failed child is started again. */
export const DEFAULT_RESTART_POLICY: RestartPolicy = {
  initialBackoffMs: 50,
  maximumBackoffMs: 5_000,
  maximumFailures: 5,
  windowMs: 60_000,
};

/** A child with what the supervisor knows of it. */
interface ChildRecord {
  readonly specification: ChildSpecification;
  task: TaskLifecycle;
  subscription: Subscription;
  history: FailureHistory;
  restartTimer: NodeJS.Timeout | undefined;
}

/**
 * Starts its children in order, starts failed ones again with backoff, and
 * fails itself when a child fails too often.
 */
export class Supervisor extends TaskLifecycle {
  private readonly children: ChildRecord[] = [];
  private readonly reports = new Subject<SupervisorReport>();

  /**
   * @param name - Name for logs.
   * @param specifications - The children, in the order of their start.
   * @param log - Where failures are logged.
   * @param policy - When a failed child is started again.
   */
  constructor(
    name: string,
    private readonly specifications: readonly ChildSpecification[],
    private readonly log: Logger,
    private readonly policy: RestartPolicy = DEFAULT_RESTART_POLICY,
  ) {
    super(name);
  }

  /** Emits each failure of a child. */
  get reports$(): Observable<SupervisorReport> {
    return this.reports;
  }

  /** Starts the children one after another. */
  protected async onStart(): Promise<void> {
    for (const specification of this.specifications) {
      const child = this.adopt(specification);
      this.children.push(child);
      await child.task.start();
    }
  }

  /** Stops the children in reverse order. */
  protected async onStop(deadlineMs: number): Promise<void> {
    const end = performance.now() + deadlineMs;
    for (const child of this.children.reverse()) {
      clearTimeout(child.restartTimer);
      child.subscription.unsubscribe();
      if (child.task.state === TaskState.Failed) continue;
      const remainingMs = Math.max(0, end - performance.now());
      await child.task.stop(remainingMs);
    }
  }

  /** Makes a child and listens for its failure. */
  private adopt(specification: ChildSpecification): ChildRecord {
    const task = specification.create();
    const child: ChildRecord = {
      specification,
      task,
      subscription: task.failures$.subscribe(error =>
        this.onChildFailure(child, error),
      ),
      history: {times: []},
      restartTimer: undefined,
    };
    return child;
  }

  /** Restarts the child later, or gives up. */
  private onChildFailure(child: ChildRecord, error: Error): void {
    const now = performance.now();
    const decision = decideRestart(child.history, now, this.policy);
    child.history = decision.history;
    this.reports.next({
      child: child.specification.name,
      reason: error.message,
      restartInMs: decision.backoffMs,
    });
    if (decision.backoffMs === null) {
      this.log.error('A task failed too often.', {
        task: child.specification.name,
        reason: error.message,
      });
      this.fail(error);
      return;
    }
    this.log.warn('A task failed and will be restarted.', {
      task: child.specification.name,
      reason: error.message,
      backoffMs: decision.backoffMs,
    });
    child.restartTimer = setTimeout(
      () => void this.restart(child),
      decision.backoffMs,
    );
  }

  /** Replaces a failed child by a new one. */
  private async restart(child: ChildRecord): Promise<void> {
    child.subscription.unsubscribe();
    await child.task.stop(0).catch(() => undefined);
    child.task = child.specification.create();
    child.subscription = child.task.failures$.subscribe(error =>
      this.onChildFailure(child, error),
    );
    try {
      await child.task.start();
    } catch (error) {
      this.onChildFailure(child, error as Error);
    }
  }
}
