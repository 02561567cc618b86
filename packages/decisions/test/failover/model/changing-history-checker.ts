import type {VoterSet, WaitingWrite} from '../../../src/index.js';
import {majorityOf, TERM_VALIDITY_MS} from '../../../src/index.js';
import {HistoryChecker} from './history-checker.js';
import type {ModelInstance} from './model-instance.js';

/** A change of the highest term that an instance has granted. */
interface GrantRecord {
  readonly instance: string;
  readonly term: number;
  readonly atMs: number;
}

/** Checks the guarantees of terms whose voters differ. */
export class ChangingHistoryChecker extends HistoryChecker {
  private readonly voterSets = new Map<number, readonly string[]>();
  private readonly grants: GrantRecord[] = [];
  private readonly latestTerms = new Map<string, number>();

  override recordGrants(nowMs: number): void {
    for (const {name: instance, grantedTerm: term} of this.instances) {
      if ((this.latestTerms.get(instance) ?? 0) >= term) continue;
      this.latestTerms.set(instance, term);
      this.grants.push({instance, term, atMs: nowMs});
    }
  }

  override recordPrimary(
    term: number,
    name: string,
    voterSets: readonly VoterSet[],
  ): void {
    super.recordPrimary(term, name, voterSets);
    this.voterSets.set(term, voterSets[0]?.instances ?? []);
  }

  protected override votersOf(term: number): readonly ModelInstance[] {
    const names = this.voterSets.get(term) ?? [];
    return this.instances.filter(({name}) => names.includes(name));
  }

  protected override checkTerm(
    id: number,
    write: WaitingWrite,
    nowMs: number,
  ): void {
    const {term} = write.position;
    const voters = this.votersOf(term).map(({name}) => name);
    const leftAtMs = voters
      .map(name => {
        const left = this.grants.find(
          grant => grant.instance === name && grant.term > term,
        );
        return left?.atMs ?? Infinity;
      })
      .sort((left, right) => left - right);
    const atMs = leftAtMs[majorityOf(voters.length) - 1] ?? Infinity;
    const isLate = atMs < nowMs - TERM_VALIDITY_MS || atMs < write.sentAtMs;
    if (isLate) this.fail(`write ${id} acknowledged in an old term`);
  }
}
