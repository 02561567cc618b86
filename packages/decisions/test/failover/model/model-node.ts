import type {
  FailoverEffect,
  FailoverEvent,
  FailoverPolicy,
  FailoverState,
  GroupResource,
  LogPosition,
  WaitingWrite,
} from '../../../src/index.js';
import {
  createWaitingWrite,
  ConfirmationState,
  createFailoverState,
  evaluateConfirmation,
  applyTermObservation,
  stepFailover,
  votersOf,
} from '../../../src/index.js';

/** The decision functions under test; the baseline has its own set. */
export interface ModelDecisions {
  readonly step: typeof stepFailover;
  readonly applyObservation: typeof applyTermObservation;
  readonly evaluateWrite: typeof evaluateConfirmation;
}

/** The decisions of the product. */
export const PRODUCT_DECISIONS: ModelDecisions = {
  step: stepFailover,
  applyObservation: applyTermObservation,
  evaluateWrite: evaluateConfirmation,
};

/** Short time-outs, so that histories reach every phase. */
export const MODEL_POLICY: FailoverPolicy = {
  reportValidityMs: 200,
  reportIntervalMs: 20,
  steppedDownGraceMs: 10,
  rankDelayMs: 30,
  rankStaggerMs: 5,
  plannedRankDelayMs: 60,
  otherAttemptTimeoutMs: 40,
  grantTimeoutMs: 40,
  grantSettleMs: 5,
  promotionTimeoutMs: 40,
  retryBackoffMs: 20,
  maximumBackoffMs: 80,
  followIntervalMs: 20,
  drainTimeoutMs: 30,
  catchUpTimeoutMs: 60,
  catchUpProbeIntervalMs: 10,
  higherTermGraceMs: 100,
};

/** Time within which a write must be confirmed, in milliseconds. */
export const WRITE_TIMEOUT_MS = 4_000;

/** Longest time for which new writes are held, in milliseconds. */
export const WRITE_HOLD_MS = 150;

/** The outcome of a write as reported to its caller. */
export type ModelOutcome = 'done' | 'not run' | 'unknown' | 'ran unconfirmed';

/** A lead owner of the group in one zone. */
export class ModelNode {
  readonly outcomes = new Map<number, ModelOutcome>();
  readonly sentAt = new Map<number, number>();
  /** Voters of the term in which each write was sent. */
  readonly votersAtSend = new Map<number, readonly string[]>();
  readonly waiting = new Map<number, WaitingWrite>();
  state: FailoverState;
  isPaused = false;
  /** Until when new writes are held, in milliseconds. */
  holdUntilMs = 0;
  /** Incremented on each restart; answers to an earlier run are dropped. */
  boot = 0;
  /** Version of the declaration of the group, if it has one. */
  version: number | undefined;

  constructor(
    readonly name: string,
    readonly zone: string,
    public group: GroupResource,
    private readonly coordinators: readonly string[],
    private readonly decisions: ModelDecisions,
  ) {
    this.state = this.createState();
  }

  get hasWritesInProgress(): boolean {
    return this.outcomes.size < this.sentAt.size;
  }

  /** Resets all state, as a restart of the process does. */
  restart(): void {
    for (const id of this.sentAt.keys()) this.settleWrite(id, 'unknown');
    this.boot += 1;
    this.waiting.clear();
    this.holdUntilMs = 0;
    this.state = this.createState();
  }

  handle(event: FailoverEvent, nowMs: number): readonly FailoverEffect[] {
    const {step, applyObservation: observe} = this.decisions;
    const result = step(this.state, event, nowMs, MODEL_POLICY);
    this.state = result.state;
    if (event.type === 'reported') {
      const observation = {...event.report, askedAtMs: event.askedAtMs};
      for (const [id, write] of this.waiting) {
        this.waiting.set(id, observe(write, observation));
      }
    }
    return result.effects;
  }

  /** Records that a write is sent in the term of the view. */
  startWrite(id: number, nowMs: number): void {
    const declared = this.group.instances.map(({name}) => name);
    this.sentAt.set(id, nowMs);
    this.votersAtSend.set(id, votersOf(this.state.view, declared));
  }

  /** Starts waiting for the confirmation of a write that ran. */
  awaitConfirmation(id: number, primary: string, position: LogPosition): void {
    if (this.outcomes.has(id)) return;
    const sentAtMs = this.sentAt.get(id) ?? 0;
    const instances = this.votersAtSend.get(id) ?? [];
    const deadlineAtMs = sentAtMs + WRITE_TIMEOUT_MS;
    const answered = {position, primary, instances, sentAtMs, deadlineAtMs};
    this.waiting.set(id, createWaitingWrite(answered));
  }

  /** Settles the writes that are due; returns those acknowledged. */
  settleWrites(nowMs: number): Array<{id: number; write: WaitingWrite}> {
    for (const [id, sentAtMs] of this.sentAt) {
      const isLate = nowMs - sentAtMs >= WRITE_TIMEOUT_MS;
      if (isLate && !this.waiting.has(id)) this.settleWrite(id, 'unknown');
    }
    const confirmed: Array<{id: number; write: WaitingWrite}> = [];
    for (const [id, write] of this.waiting) {
      const state = this.decisions.evaluateWrite(write, nowMs);
      if (state === ConfirmationState.Confirmed) {
        this.settleWrite(id, 'done');
        confirmed.push({id, write});
      }
      const isUnconfirmed =
        state === ConfirmationState.Superseded ||
        state === ConfirmationState.Expired;
      if (isUnconfirmed) this.settleWrite(id, 'ran unconfirmed');
    }
    return confirmed;
  }

  settleWrite(id: number, outcome: ModelOutcome): void {
    this.waiting.delete(id);
    if (!this.outcomes.has(id)) this.outcomes.set(id, outcome);
  }

  private createState(): FailoverState {
    const {name: self, zone, group, coordinators} = this;
    const state = createFailoverState({self, zone, group, coordinators});
    return {...state, declaredVersion: this.version};
  }
}
