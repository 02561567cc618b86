import type {GroupInstance, PresentInstance, PrimaryRecord} from './types.js';

/**
 * Instances that were gone before the term of a record began, although the
 * directory of this proxy keeps them for its grace period.
 *
 * The coordinator knew them in an earlier term and did not list them when it
 * recorded the new one. Their end says nothing about the commits of that term.
 */
export class EarlierDepartures {
  private term = 0;
  /** Instances that the last record named. */
  private named: readonly GroupInstance[] = [];
  private gone: readonly GroupInstance[] = [];

  /**
   * Updates the record and the list of instances.
   *
   * @param record - The group's record. One of an earlier term than the last one
   *   is ignored.
   * @param present - The instances that are in the directory.
   */
  update(record: PrimaryRecord, present: readonly PresentInstance[]): void {
    const {term, confirmers} = record;
    if (term < this.term) return;
    if (term > this.term) {
      this.term = term;
      this.gone = confirmers === undefined ? [] : this.named;
    }
    const listed = confirmers?.instances ?? [];
    this.gone = this.gone.filter(
      each => !includes(listed, each) && !isRegistered(present, each),
    );
    this.named = namedBy(record);
  }

  /** Returns whether an instance was gone before the term began, and has not come back since. */
  includes(instance: GroupInstance): boolean {
    return includes(this.gone, instance);
  }
}

/** Returns the instances that a record names with their incarnations. */
function namedBy({
  primary,
  primaryBornAtMs,
  confirmers,
}: PrimaryRecord): GroupInstance[] {
  const instances = [...(confirmers?.instances ?? [])];
  if (primaryBornAtMs !== undefined)
    instances.push({id: primary, bornAtMs: primaryBornAtMs});
  return instances;
}

/** Returns whether an incarnation of an instance has an entry. */
function isRegistered(
  present: readonly PresentInstance[],
  instance: GroupInstance,
): boolean {
  return includes(
    present.filter(({isMissing}) => isMissing !== true),
    instance,
  );
}

function includes(
  instances: readonly GroupInstance[],
  {id, bornAtMs}: GroupInstance,
): boolean {
  return instances.some(each => each.id === id && each.bornAtMs === bornAtMs);
}
