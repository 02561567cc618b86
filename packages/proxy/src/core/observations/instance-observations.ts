import type {InstanceStatus} from '@sapphireglade/protocol';
import type {Observable} from 'rxjs';
import {Subject} from 'rxjs';

/** One status response of an instance. */
export interface InstanceObservation {
  /** Name of the group. */
  readonly group: string;
  /** Name of the instance. */
  readonly instance: string;
  /** Status that the instance reported. */
  readonly status: InstanceStatus;
  /** Monotonic time at which the request was sent, in milliseconds. */
  readonly sentAtMs: number;
  /** Monotonic time at which the response arrived, in milliseconds. */
  readonly answeredAtMs: number;
}

/** An instance to which no new connection could be opened. */
export interface UnreachableInstance {
  /** Name of the group. */
  readonly group: string;
  /** Name of the instance. */
  readonly instance: string;
  /** Message of the error. */
  readonly reason: string;
}

/** The latest observation of each instance that this process watches. */
export class InstanceObservations {
  private readonly latestByInstance = new Map<string, InstanceObservation>();
  private readonly changes = new Subject<InstanceObservation>();
  private readonly unreachable = new Subject<UnreachableInstance>();

  /** Emits each observation. */
  get changes$(): Observable<InstanceObservation> {
    return this.changes;
  }

  /** Emits each failure to open a watch connection. */
  get unreachable$(): Observable<UnreachableInstance> {
    return this.unreachable;
  }

  /** Emits an instance that cannot be reached. */
  recordUnreachable(failure: UnreachableInstance): void {
    this.unreachable.next(failure);
  }

  /** Stores and emits an observation. */
  record(observation: InstanceObservation): void {
    const key = keyOf(observation.group, observation.instance);
    this.latestByInstance.set(key, observation);
    this.changes.next(observation);
  }

  /** Returns the latest observation of an instance, if there is one. */
  get(group: string, instance: string): InstanceObservation | undefined {
    return this.latestByInstance.get(keyOf(group, instance));
  }

  /** Removes the observation of an instance that is no longer watched. */
  remove(group: string, instance: string): void {
    this.latestByInstance.delete(keyOf(group, instance));
  }
}

function keyOf(group: string, instance: string): string {
  return `${group}/${instance}`;
}
