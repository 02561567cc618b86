import type {
  ChangeExpectation,
  ChangeProgress,
  PrimaryRecord,
} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {steadyNowMs} from '../time/index.js';

/** The change of primary that the records of a group describe. */
export class ObservedChange {
  private observed: ChangeProgress = {
    beganAtMs: 0,
    isPlanned: false,
    targetAtMs: undefined,
  };

  /** @param expectation - Learns how long the steps of a change take. */
  constructor(private readonly expectation: ChangeExpectation) {}

  /** Progress of the change. */
  get progress(): ChangeProgress {
    return this.observed;
  }

  /** Handles a newer record. One that only names the target belongs to the same change. */
  onRecord(record: PrimaryRecord): void {
    const nowMs = steadyNowMs();
    const isPlanned = record.isPlanned === true;
    const isChanging = record.phase === PrimaryPhase.Changing;
    const hasTarget = isChanging && record.target !== undefined;
    const {observed, expectation} = this;
    const hadTarget = observed.targetAtMs !== undefined;
    if (hasTarget && !hadTarget) expectation.recordChoice(observed, nowMs);
    if (!isChanging) expectation.recordPromotion(observed, nowMs);
    this.observed = hasTarget
      ? {...observed, targetAtMs: nowMs}
      : {beganAtMs: nowMs, isPlanned, targetAtMs: undefined};
  }
}
