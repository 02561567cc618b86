import type {Observable, Subscription} from 'rxjs';
import {Subject} from 'rxjs';
import type {Logger} from '../logging/index.js';
import type {FailureHistory} from './restart-decision.js';
import {decideRestart} from './restart-decision.js';
import {SupervisedTask} from './supervised-task.js';
import type {ChildSpecification} from './child-specification.js';
import type {RestartPolicy, ChildFailureReport} from './types.js';
import {TaskState} from './types.js';

/** Default limits and delays of restarts. */
export const DEFAULT_RESTART_POLICY: RestartPolicy = {
  initialBackoffMs: 50,
  maximumBackoffMs: 5_000,
  maximumFailures: 5,
  failureWindowMs: 60_000,
};

/** A child and its supervision state. */
interface ChildRecord {
  readonly specification: ChildSpecification;
  task: SupervisedTask;
  subscription: Subscription;
  history: FailureHistory;
  restartTimer: NodeJS.Timeout | undefined;
}

/**
 * Starts its children in order, restarts failed ones with backoff, and fails
 * itself if a child fails too often.
 */
export class Supervisor extends SupervisedTask {
  private readonly children: ChildRecord[] = [];
  private readonly childFailures = new Subject<ChildFailureReport>();

  /**
   * @param name - Name for logs.
   * @param specifications - The children, in start order.
   * @param log - Logs the failures of children.
   * @param restartPolicy - Limits and delays of restarts.
   */
  constructor(
    name: string,
    private readonly specifications: readonly ChildSpecification[],
    private readonly log: Logger,
    private readonly restartPolicy: RestartPolicy = DEFAULT_RESTART_POLICY,
  ) {
    super(name);
  }

  /** Emits each failure of a child. */
  get childFailures$(): Observable<ChildFailureReport> {
    return this.childFailures;
  }

  /** Starts the children one at a time, in order. */
  protected async onStart(): Promise<void> {
    for (const specification of this.specifications) {
      const child = this.createChild(specification);
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

  /** Creates a child and subscribes to its failures. */
  private createChild(specification: ChildSpecification): ChildRecord {
    const task = specification.create();
    const child: ChildRecord = {
      specification,
      task,
      subscription: task.failures$.subscribe(error =>
        this.onChildFailure(child, error),
      ),
      history: {failureTimesMs: []},
      restartTimer: undefined,
    };
    return child;
  }

  /** Schedules the restart of a failed child, or fails the supervisor. */
  private onChildFailure(child: ChildRecord, error: Error): void {
    const now = performance.now();
    const decision = decideRestart(child.history, now, this.restartPolicy);
    child.history = decision.history;
    this.childFailures.next({
      child: child.specification.name,
      reason: error.message,
      restartDelayMs: decision.backoffMs,
    });
    if (decision.backoffMs === null) {
      this.log.error(
        'A task failed too often; it is not restarted and its supervisor fails.',
        {
          task: child.specification.name,
          reason: error.message,
        },
      );
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

  /** Replaces a failed child with a new one and starts it. */
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
