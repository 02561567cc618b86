import type {
  GroupResource,
  ReplicationLagState,
} from '@sapphireglade/decisions';
import {
  admitWrite,
  EMPTY_REPLICATION_LAG,
  ErrorKind,
  observePrimaryPosition,
  observeReplicaPosition,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import type {Subscription} from 'rxjs';
import type {
  InstanceObservation,
  InstanceObservations,
} from '../observations/index.js';

/**
 * Tracks the replication lag of each group and refuses writes that cannot be
 * confirmed before their deadline.
 */
export class ReplicationLagTracker {
  private readonly lagByGroup = new Map<string, ReplicationLagState>();
  private readonly subscription: Subscription;

  /** @param observations - The observations of the instances. */
  constructor(observations: InstanceObservations) {
    this.subscription = observations.changes$.subscribe(observation =>
      this.recordObservation(observation),
    );
  }

  /** Stops tracking. */
  close(): void {
    this.subscription.unsubscribe();
  }

  /**
   * Throws if a write is unlikely to be confirmed before its deadline.
   *
   * @param remainingMs - Time to the deadline, in milliseconds.
   * @throws SapphiregladeError of kind `confirmation-unlikely`.
   */
  assertConfirmable(group: GroupResource, remainingMs: number): void {
    const lag = this.lagByGroup.get(group.name) ?? EMPTY_REPLICATION_LAG;
    const size = group.instances.length;
    const admission = admitWrite(lag, size, remainingMs, performance.now());
    if (admission.isAdmitted) return;
    const expectedMs = Math.round(admission.expectedMs);
    throw new SapphiregladeError(
      ErrorKind.ConfirmationUnlikely,
      `A majority of ${group.name} takes about ${expectedMs} ms to confirm a write, longer than its deadline allows.`,
      {retryAfterMs: admission.retryAfterMs},
    );
  }

  private recordObservation({
    group,
    instance,
    status,
  }: InstanceObservation): void {
    const nowMs = performance.now();
    const previous = this.lagByGroup.get(group) ?? EMPTY_REPLICATION_LAG;
    const {role, position, replicas} = status;
    if (role === 'replica') {
      const lag = observeReplicaPosition(previous, instance, position, nowMs);
      this.lagByGroup.set(group, lag);
      return;
    }
    if (status.grantedTerm !== status.term) return;
    const started = observePrimaryPosition(previous, position, nowMs);
    const lag = Object.entries(replicas).reduce(
      (state, [name, confirmed]) =>
        observeReplicaPosition(state, name, confirmed, nowMs),
      started,
    );
    this.lagByGroup.set(group, lag);
  }
}
