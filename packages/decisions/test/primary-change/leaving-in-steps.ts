import type {DepartedInstances, PresentInstance} from '../../src/index.js';
import {replicasToHold} from '../../src/index.js';
import type {ChangeRules, Dice, StepRecord} from './change-rules.js';
import {REGISTRATION_STEPS, RELEASE_LIMIT_STEPS} from './change-rules.js';
import type {InstancesInSteps} from './instances-in-steps.js';

/** Probability that a coordinator holds or releases a leaving replica in a step. */
const ACTION_PROBABILITY = 0.5;

/** What a coordinator that holds leaving replicas acts on and adheres to. */
export interface LeavingContext {
  readonly rules: ChangeRules;
  readonly dice: Dice;
  readonly instances: InstancesInSteps;
}

/** The leaving replicas of the model while their primary is in use. */
export class LeavingInSteps {
  /** When a release of another coordinator, or of an earlier term, was possible last. */
  private quietSince = 0;
  private term = 0;
  private readonly releasedAt = new Map<string, number>();

  constructor(
    private readonly context: LeavingContext,
    private readonly departed: DepartedInstances,
  ) {}

  /** Holds the leaving replicas, or releases them if no other one stays. */
  update(
    record: StepRecord,
    listed: readonly PresentInstance[],
    now: number,
  ): void {
    if (record.term !== this.term) this.quietSince = now;
    this.term = record.term;
    const replicas = listed.filter(({id}) => id !== record.primary);
    const held = replicasToHold(
      replicas.map(({id, isLeaving}) => ({id, isLeaving, isRegistered: true})),
    );
    for (const replica of replicas.filter(({isLeaving}) => isLeaving)) {
      if (!this.context.dice.chance(ACTION_PROBABILITY)) continue;
      if (held.includes(replica.id)) this.hold(replica, now);
      else this.release(replica, now);
    }
  }

  /** Handles a list that was read just now. */
  settleHolds(listed: readonly PresentInstance[], now: number): void {
    this.departed.holds.settle(
      listed,
      time => now - time >= REGISTRATION_STEPS,
    );
  }

  private hold(replica: PresentInstance, now: number): void {
    const {id} = replica;
    const report = this.context.instances.hold(id, this.term + 1);
    if (report === undefined) return;
    const isHeld =
      !report.isPrimary &&
      report.term <= this.term &&
      report.heldTerm > this.term;
    if (!isHeld) this.departed.holds.forget(replica);
    else if (this.isCertain(id, now))
      this.departed.holds.record(replica, report.received, now);
  }

  private release(replica: PresentInstance, now: number): void {
    this.departed.holds.forget(replica);
    this.context.instances.release(replica.id, now);
    this.releasedAt.set(replica.id, now);
  }

  /** Whether no release can end a hold of an instance unseen. */
  private isCertain(id: string, now: number): boolean {
    const {awaitsOtherReleases, awaitsOwnReleases} = this.context.rules;
    const {quietSince} = this;
    const releasedAt = this.releasedAt.get(id) ?? -Infinity;
    return (
      (!awaitsOtherReleases || now - quietSince >= RELEASE_LIMIT_STEPS) &&
      (!awaitsOwnReleases || now - releasedAt >= RELEASE_LIMIT_STEPS)
    );
  }
}
