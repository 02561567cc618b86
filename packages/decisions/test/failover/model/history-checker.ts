import type {VoterSet, WaitingWrite} from '../../../src/index.js';
import {majorityOf, TERM_VALIDITY_MS} from '../../../src/index.js';
import type {ModelEntry, ModelInstance} from './model-instance.js';
import type {ModelOutcome} from './model-node.js';

/** Checks the guarantees by brute force against the logs of all instances. */
export class HistoryChecker {
  readonly faults: string[] = [];
  /** When a majority had first granted each term or a higher one, in milliseconds. */
  private readonly grantedAtMs = new Map<number, number>();
  private readonly primaries = new Map<number, string>();

  constructor(protected readonly instances: readonly ModelInstance[]) {}

  fail(fault: string): void {
    this.faults.push(fault);
  }

  recordGrants(nowMs: number): void {
    const terms = this.instances
      .map(each => each.grantedTerm)
      .sort((left, right) => right - left);
    const majority = terms[majorityOf(terms.length) - 1] ?? 0;
    if (!this.grantedAtMs.has(majority)) this.grantedAtMs.set(majority, nowMs);
  }

  recordPrimary(
    term: number,
    name: string,
    _voterSets: readonly VoterSet[],
  ): void {
    const other = this.primaries.get(term) ?? name;
    if (other !== name) this.fail(`term ${term} has two primaries`);
    this.primaries.set(term, name);
  }

  checkAcknowledgement(id: number, write: WaitingWrite, nowMs: number): void {
    const {term} = write.position;
    this.checkTerm(id, write, nowMs);
    const voters = this.votersOf(term);
    const holders = voters.filter(each =>
      each.log.some(entry => entry.id === id && entry.term === term),
    );
    if (holders.length < majorityOf(voters.length)) {
      this.fail(`write ${id} acknowledged without a majority`);
    }
  }

  /** Returns the instances of which a majority must hold a write of a term. */
  protected votersOf(_term: number): readonly ModelInstance[] {
    return this.instances;
  }

  /** Checks that no majority had granted a higher term too early. */
  protected checkTerm(id: number, write: WaitingWrite, nowMs: number): void {
    const {term} = write.position;
    for (const [granted, atMs] of this.grantedAtMs) {
      if (granted <= term) continue;
      const isLate = atMs < nowMs - TERM_VALIDITY_MS || atMs < write.sentAtMs;
      if (isLate) this.fail(`write ${id} acknowledged in an old term`);
    }
  }

  checkOutcomes(
    outcomes: ReadonlyMap<number, ModelOutcome>,
    final: readonly ModelEntry[],
  ): void {
    for (const [id, outcome] of outcomes) {
      const count = final.filter(entry => entry.id === id).length;
      if (count > 1) this.fail(`write ${id} ran ${count} times`);
      if (outcome === 'done' && count !== 1) {
        this.fail(`acknowledged write ${id} is lost`);
      }
      if (outcome === 'not run' && count !== 0) {
        this.fail(`write ${id} ran after "not run"`);
      }
    }
  }
}
