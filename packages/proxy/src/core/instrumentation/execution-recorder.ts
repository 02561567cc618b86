import type {LogPosition} from '@sapphireglade/decisions';
import type {ExecuteRequest} from '@sapphireglade/protocol';
import type {ProxyContext} from '../context/index.js';

/** Records the steps of a request at the owner that runs it. */
export class ExecutionRecorder {
  private stepStartMs = performance.now();
  private queuedMs = 0;

  /**
   * @param context - What every task may use.
   * @param request - The request.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly request: ExecuteRequest,
  ) {}

  /**
   * An instance was chosen.
   *
   * @param instance - Name of the instance.
   * @param role - Role of the instance.
   * @param reason - Why it was chosen, without a full stop.
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

  /** A connection to the instance was free. */
  admitted(instance: string): void {
    const {group} = this.request;
    this.queuedMs = this.takeStepDurationMs();
    this.context.metrics.recordDuration(
      'sapphireglade_queue_duration_seconds',
      this.queuedMs,
      {group, instance},
    );
  }

  /** The instance answered. */
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

  /** A majority held the write. */
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

  /** Time since the last step, in milliseconds. */
  private takeStepDurationMs(): number {
    const nowMs = performance.now();
    const durationMs = nowMs - this.stepStartMs;
    this.stepStartMs = nowMs;
    return durationMs;
  }
}
