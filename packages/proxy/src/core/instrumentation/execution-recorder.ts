import type {LogPosition} from '@sapphireglade/decisions';
import type {ExecuteRequest} from '@sapphireglade/protocol';
import type {ProxyContext} from '../context/index.js';

/** Records the steps of a request on the owner that executes it. */
export class ExecutionRecorder {
  private stepStartMs = performance.now();
  private queuedMs = 0;

  /**
   * @param context - Context shared by all tasks.
   * @param request - The request to record.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly request: ExecuteRequest,
  ) {}

  /**
   * Records the choice of an instance.
   *
   * @param instance - Name of the instance.
   * @param role - Role of the instance.
   * @param reason - Reason for the choice, without a full stop.
   */
  routed(instance: string, role: string, reason: string): void {
    const {requestId, group} = this.request;
    this.context.events.record('request-routed', {
      requestId,
      group,
      instance,
      role,
      reason,
    });
    this.stepStartMs = performance.now();
  }

  /** Records that a connection to the instance was acquired. */
  admitted(instance: string): void {
    const {group} = this.request;
    this.queuedMs = this.takeStepDurationMs();
    this.context.metrics.recordDuration(
      'sapphireglade_queue_duration_seconds',
      this.queuedMs,
      {group, instance},
    );
  }

  /** Records that the instance executed the request. */
  ran(instance: string, position: LogPosition): void {
    const {requestId, group} = this.request;
    const durationMs = this.takeStepDurationMs();
    const {events, metrics} = this.context;
    events.record('request-ran', {
      requestId,
      group,
      instance,
      ...position,
      queuedMs: this.queuedMs,
      durationMs,
    });
    metrics.recordDuration(
      'sapphireglade_upstream_duration_seconds',
      durationMs,
      {group, instance},
    );
  }

  /** Records that a majority stored the write. */
  confirmed(position: LogPosition): void {
    const {requestId, group} = this.request;
    const durationMs = this.takeStepDurationMs();
    const {events, metrics} = this.context;
    events.record('request-confirmed', {
      requestId,
      group,
      ...position,
      durationMs,
    });
    metrics.recordDuration(
      'sapphireglade_confirmation_duration_seconds',
      durationMs,
      {group},
    );
  }

  /** Returns the time since the last step, in milliseconds, and resets it. */
  private takeStepDurationMs(): number {
    const nowMs = performance.now();
    const durationMs = nowMs - this.stepStartMs;
    this.stepStartMs = nowMs;
    return durationMs;
  }
}
