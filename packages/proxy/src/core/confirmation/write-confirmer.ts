import type {
  GroupResource,
  LogPosition,
  TermObservation,
  WaitingWrite,
} from '@sapphireglade/decisions';
import {
  createWaitingWrite,
  ConfirmationState,
  evaluateConfirmation,
  applyTermObservation,
} from '@sapphireglade/decisions';
import {filter, firstValueFrom, interval, merge, startWith, tap} from 'rxjs';
import type {GroupViews} from '../groups/index.js';
import type {
  InstanceObservation,
  InstanceObservations,
} from '../observations/index.js';
import type {EventRecorder} from '../timeline/index.js';

/**
 * Interval of the checks of deadline and term observations, in milliseconds.
 */
const CHECK_INTERVAL_MS = 20;

/** A write that its primary has executed. */
export interface ExecutedWrite {
  readonly group: GroupResource;
  /** Name of the instance that ran it. */
  readonly primary: string;
  readonly position: LogPosition;
  /** Monotonic time at which it was sent to the primary, in milliseconds. */
  readonly sentAtMs: number;
  /** Monotonic deadline of its answer, in milliseconds. */
  readonly deadlineAtMs: number;
}

/** Requests the current status of an instance without waiting for a change. */
export type ProbeInstance = (group: string, instance: string) => void;

/** Waits until a majority of the voters of its term holds a write. */
export class WriteConfirmer {
  /**
   * @param observations - The observations of the instances.
   * @param groupViews - The group views, which name the voters of each term.
   * @param events - Records unconfirmed writes in the timeline.
   * @param probe - Requests the current status of an instance.
   */
  constructor(
    private readonly observations: InstanceObservations,
    private readonly groupViews: GroupViews,
    private readonly events: EventRecorder,
    private readonly probe: ProbeInstance,
  ) {}

  /**
   * Waits until a write is confirmed or can no longer be confirmed.
   *
   * @returns `confirmed`, or the reason for which the write is unconfirmed.
   */
  async wait(executedWrite: ExecutedWrite): Promise<ConfirmationState> {
    const {group, position, deadlineAtMs} = executedWrite;
    const voters = await this.groupViews.waitForVoters(
      group,
      position.term,
      Math.max(0, deadlineAtMs - performance.now()),
    );
    const state =
      voters === undefined
        ? ConfirmationState.Superseded
        : await this.waitForMajority(executedWrite, voters);
    if (state !== ConfirmationState.Confirmed) {
      this.recordUnconfirmed(executedWrite, state, deadlineAtMs);
    }
    return state;
  }

  private async waitForMajority(
    executedWrite: ExecutedWrite,
    voters: readonly string[],
  ): Promise<ConfirmationState> {
    const {group} = executedWrite;
    const write = new PendingConfirmation(
      createWaitingWrite({...executedWrite, instances: voters}),
    );
    for (const name of voters) {
      const observation = this.observations.get(group.name, name);
      if (observation !== undefined) write.applyObservation(observation);
    }
    const observation$ = this.observations.changes$.pipe(
      filter(observation => observation.group === group.name),
      tap(observation => write.applyObservation(observation)),
    );
    return firstValueFrom(
      merge(observation$, interval(CHECK_INTERVAL_MS)).pipe(
        startWith(undefined),
        // The state is evaluated again when the result is returned. A pause
        // of the process before that makes the term observations too old.
        filter(() => this.checkSettledOrProbe(group.name, write)),
      ),
    ).then(() => write.evaluate());
  }

  /**
   * Returns whether the wait is over; probes if term observations are too old.
   */
  private checkSettledOrProbe(
    group: string,
    write: PendingConfirmation,
  ): boolean {
    const state = write.evaluate();
    if (state === ConfirmationState.Stale && write.tryStartProbe()) {
      for (const name of write.voters) this.probe(group, name);
    }
    return (
      state !== ConfirmationState.Waiting && state !== ConfirmationState.Stale
    );
  }

  private recordUnconfirmed(
    {group, position, sentAtMs}: ExecutedWrite,
    reason: ConfirmationState,
    deadlineAtMs: number,
  ): void {
    const endedAtMs = Math.min(performance.now(), deadlineAtMs);
    this.events.record('write-unconfirmed', {
      group: group.name,
      ...position,
      reason,
      waitedMs: endedAtMs - sentAtMs,
    });
  }
}

/** Minimum time between two rounds of probes for one write, in milliseconds. */
const PROBE_INTERVAL_MS = 100;

/** State of one write that waits for confirmation. */
class PendingConfirmation {
  private lastProbedAtMs = -Infinity;

  constructor(private write: WaitingWrite) {}

  /** Names of the instances of which a majority confirms the write. */
  get voters(): readonly string[] {
    return this.write.instances;
  }

  applyObservation({status, sentAtMs}: InstanceObservation): void {
    const termObservation: TermObservation = {...status, askedAtMs: sentAtMs};
    this.write = applyTermObservation(this.write, termObservation);
  }

  evaluate(): ConfirmationState {
    return evaluateConfirmation(this.write, performance.now());
  }

  /** Returns whether a new round of probes is due, and records its start. */
  tryStartProbe(): boolean {
    const nowMs = performance.now();
    if (nowMs - this.lastProbedAtMs < PROBE_INTERVAL_MS) return false;
    this.lastProbedAtMs = nowMs;
    return true;
  }
}
