import type {LogPosition} from '../groups/index.js';
import type {GroupInstance, Incarnation} from './held-reports.js';
import {higherPosition} from './held-reports.js';

/** An instance that is gone with its log. */
interface Departure {
  /** The instance, as it was before it left or restarted. */
  readonly instance: GroupInstance;
  /** Position of the primary after the departure; includes all that the instance confirmed. */
  bound: LogPosition | undefined;
}

/**
 * Instances of one group that left, or restarted, during the current term.
 *
 * Such an instance may have been the only replica that confirmed a commit, so
 * "all remaining replicas have reported" proves nothing until one of them has
 * reached what the primary had after the departure.
 */
export class DepartedInstances {
  private term = 0;
  private present = new Map<string, Incarnation>();
  private departures: Departure[] = [];

  /**
   * Updates the list of instances.
   *
   * @param term - The term of the group's record; departures of earlier terms
   *   are covered by the start of this one.
   * @param primary - The primary of the term, whose log counts separately.
   * @param instances - The instances that are in the directory.
   */
  update(
    term: number,
    primary: string,
    instances: readonly GroupInstance[],
  ): void {
    if (term > this.term) this.departures = [];
    else {
      const now = new Map(instances.map(({id, bornAtMs}) => [id, bornAtMs]));
      for (const [id, incarnation] of this.present) {
        const isPresent = now.has(id) && now.get(id) === incarnation;
        if (!isPresent && id !== primary)
          this.departures.push({
            instance: {id, bornAtMs: incarnation},
            bound: undefined,
          });
      }
    }
    this.term = Math.max(this.term, term);
    this.present = new Map(instances.map(({id, bornAtMs}) => [id, bornAtMs]));
  }

  /** Instances whose confirmed commits are not bounded by a known position. */
  get unbounded(): readonly GroupInstance[] {
    return this.departures
      .filter(({bound}) => bound === undefined)
      .map(({instance}) => instance);
  }

  /** Highest position that a departed instance may have confirmed, as far as it is known. */
  get bound(): LogPosition | undefined {
    return this.departures.reduce<LogPosition | undefined>(
      (highest, {bound}) => higherPosition(highest, bound),
      undefined,
    );
  }

  /**
   * Records a position that the primary of the term reported.
   *
   * @param departed - The departures that preceded the question.
   * @param position - The position.
   */
  recordBound(departed: readonly GroupInstance[], position: LogPosition): void {
    for (const departure of this.departures) {
      if (departed.includes(departure.instance)) departure.bound ??= position;
    }
  }
}
