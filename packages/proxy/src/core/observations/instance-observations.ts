import type {InstanceStatus} from '@sapphireglade/protocol';
import type {Observable} from 'rxjs';
import {Subject} from 'rxjs';

/** What one probe of an instance showed. */
export interface InstanceObservation {
  /** Name of the group. */
  readonly group: string;
  /** Name of the instance. */
  readonly instance: string;
  /** What the instance told. */
  readonly status: InstanceStatus;
  /** Monotonic time at which the probe was sent, in milliseconds. */
  readonly sentAtMs: number;
  /** Monotonic time at which the answer came, in milliseconds. */
  readonly answeredAtMs: number;
}

/** An instance to which no new connection could be opened. */
export interface UnreachableInstance {
  /** Name of the group. */
  readonly group: string;
  /** Name of the instance. */
  readonly instance: string;
  /** What failed. */
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

  /** Emits each failure to open a connection for watching. */
  get unreachable$(): Observable<UnreachableInstance> {
    return this.unreachable;
  }

  /** Takes in that an instance cannot be reached. */
  recordUnreachable(failure: UnreachableInstance): void {
    this.unreachable.next(failure);
  }

  /** Takes in an observation. */
  record(observation: InstanceObservation): void {
    const key = keyOf(observation.group, observation.instance);
    this.latestByInstance.set(key, observation);
    this.changes.next(observation);
  }

  /** The latest observation of an instance, if there is one. */
  get(group: string, instance: string): InstanceObservation | undefined {
    return this.latestByInstance.get(keyOf(group, instance));
  }

  /** Forgets an instance that is no longer watched. */
  remove(group: string, instance: string): void {
    this.latestByInstance.delete(keyOf(group, instance));
  }
}

function keyOf(group: string, instance: string): string {
  return `${group}/${instance}`;
}
