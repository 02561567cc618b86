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
import type {
  InstanceObservation,
  InstanceObservations,
} from '../observations/index.js';
import type {EventRecorder} from '../timeline/index.js';

/** How often the deadline and the sights of the term are looked at. */
const CHECK_INTERVAL_MS = 20;

/** A write that its primary has answered. */
export interface ExecutedWrite {
  readonly group: GroupResource;
  /** Instance that ran it. */
  readonly primary: string;
  readonly position: LogPosition;
  /** When it was sent to the primary, monotonic, in milliseconds. */
  readonly sentAtMs: number;
  /** When its answer is of no use any more, monotonic, in milliseconds. */
  readonly deadlineAtMs: number;
}

/** Asks an instance where it stands, now. */
export type ProbeInstance = (group: string, instance: string) => void;

/** Waits until a majority of a group's instances holds a write. */
export class WriteConfirmer {
  /**
   * @param observations - What the instances were seen to hold.
   * @param events - Where unconfirmed writes are recorded.
   * @param probe - Asks an instance where it stands, now.
   */
  constructor(
    private readonly observations: InstanceObservations,
    private readonly events: EventRecorder,
    private readonly probe: ProbeInstance,
  ) {}

  /**
   * Waits for a write.
   *
   * @returns `confirmed`, or why the write stays unconfirmed.
   */
  async wait(answered: ExecutedWrite): Promise<ConfirmationState> {
    const {group, deadlineAtMs} = answered;
    const names = group.instances.map(({name}) => name);
    const write = new PendingConfirmation(
      createWaitingWrite({...answered, instances: names}),
    );
    for (const name of names) {
      const seen = this.observations.get(group.name, name);
      if (seen !== undefined) write.applyObservation(seen);
    }
    const seen$ = this.observations.changes$.pipe(
      filter(observation => observation.group === group.name),
      tap(observation => write.applyObservation(observation)),
    );
    const end = await firstValueFrom(
      merge(seen$, interval(CHECK_INTERVAL_MS)).pipe(
        startWith(undefined),
        // The state is judged as the answer is given, so a pause of the
        // process before this line makes the sights of the term too old.
        filter(() => this.checkSettledOrProbe(answered, write)),
      ),
    ).then(() => write.evaluate());
    if (end !== ConfirmationState.Confirmed) {
      this.recordUnconfirmed(answered, end, deadlineAtMs);
    }
    return end;
  }

  /** Whether the wait is over; asks again where the term was seen too long ago. */
  private checkSettledOrProbe(
    {group}: ExecutedWrite,
    write: PendingConfirmation,
  ): boolean {
    const state = write.evaluate();
    if (state === ConfirmationState.Stale && write.tryStartProbe()) {
      for (const {name} of group.instances) this.probe(group.name, name);
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

/** Wait between two rounds of questions for one write, in milliseconds. */
const PROBE_INTERVAL_MS = 100;

/** The state of one waiting write. */
class PendingConfirmation {
  private lastProbedAtMs = -Infinity;

  constructor(private write: WaitingWrite) {}

  applyObservation({status, sentAtMs}: InstanceObservation): void {
    const sight: TermObservation = {...status, askedAtMs: sentAtMs};
    this.write = applyTermObservation(this.write, sight);
  }

  evaluate(): ConfirmationState {
    return evaluateConfirmation(this.write, performance.now());
  }

  /** Whether the instances may be asked again; counts as having asked. */
  tryStartProbe(): boolean {
    const nowMs = performance.now();
    if (nowMs - this.lastProbedAtMs < PROBE_INTERVAL_MS) return false;
    this.lastProbedAtMs = nowMs;
    return true;
  }
}
