import type {
  GroupInstance,
  PresentInstance,
  PrimaryRecord,
  RecordedConfirmers,
} from './types.js';

/** The newest known incarnation of an instance, and how it went. */
interface Sighting {
  /** The incarnation; its start is unknown for a primary that only a record names. */
  readonly instance: GroupInstance;
  /** Whether the log does not come back under this name once the entry has gone. */
  isLeaving: boolean;
  /** Where it was last registered; undefined if only a record names it. */
  readonly address: string | undefined;
  /** Since when it is known to be absent, in milliseconds of the steady clock; undefined while it is present. */
  absentSinceMs: number | undefined;
}

/** The parts of {@link RecordedConfirmers} about logs that may come back. */
export type RecordedAbsences = Pick<RecordedConfirmers, 'leaving' | 'absent'>;

/**
 * Instances of one group whose entries have gone from the directory, and whose
 * logs may come back.
 *
 * An entry also lapses while its instance is dark or cut off, so its absence
 * proves nothing. A log is gone, or comes back under another name, if the
 * instance announced that it leaves before its entry went, if another
 * incarnation of it was present, if a later instance of the group has its
 * address, or if it has been absent for longer than any instance is expected to
 * be.
 *
 * Absences outlast the term: an instance that returns still has the commits of
 * earlier terms.
 */
export class AbsentInstances {
  private readonly sightings = new Map<string, Sighting>();
  private updatedAtMs = -Infinity;

  /**
   * @param returnWithinMs - Returns how long an instance may be absent and still
   *   return with its log, in milliseconds.
   */
  constructor(private readonly returnWithinMs: () => number) {}

  /**
   * Updates what is known.
   *
   * @param record - The group's record, unless it is out of date.
   * @param present - The instances that are in the directory.
   * @param departed - Instances that further records of the term name.
   * @param nowMs - Time of the steady clock, in milliseconds.
   */
  update(
    record: PrimaryRecord | undefined,
    present: readonly PresentInstance[],
    departed: readonly GroupInstance[],
    nowMs: number,
  ): void {
    this.updatedAtMs = nowMs;
    const presentIds = new Set(present.map(({id}) => id));
    for (const {id, bornAtMs, isLeaving, address} of present) {
      const instance = {id, bornAtMs};
      const absentSinceMs = undefined;
      this.sightings.set(id, {instance, isLeaving, address, absentSinceMs});
    }
    for (const sighting of this.sightings.values()) {
      if (present.some(each => hasTakenAddress(each, sighting)))
        sighting.isLeaving = true;
    }
    for (const [id, sighting] of this.sightings) {
      if (!presentIds.has(id)) sighting.absentSinceMs ??= nowMs;
    }
    if (record === undefined) return;
    const recorded = recordedInstances(record);
    for (const instance of recorded) {
      if (!presentIds.has(instance.id)) this.learn(instance, nowMs);
    }
    for (const instance of record.confirmers?.leaving ?? []) {
      const sighting = this.sightings.get(instance.id);
      if (sighting !== undefined && mayBeSame(sighting.instance, instance))
        sighting.isLeaving = true;
    }
    this.forget([...recorded, ...departed]);
  }

  /** Returns the instances that may come back with their logs at a time of the steady clock, in milliseconds. */
  mayReturn(nowMs: number): GroupInstance[] {
    return [...this.sightings.values()]
      .filter(sighting => this.isExpected(sighting, nowMs))
      .map(({instance}) => instance);
  }

  /** Handles that an instance has returned with its log by another name. */
  recordOtherName(id: string): void {
    const sighting = this.sightings.get(id);
    if (sighting !== undefined) sighting.isLeaving = true;
  }

  /**
   * Returns what a record has to say about logs that may come back.
   *
   * @param listed - The instances that the record lists as confirmers.
   * @param primary - The primary of the term.
   */
  recordedWith(
    listed: readonly GroupInstance[],
    primary: string | undefined,
  ): RecordedAbsences {
    const isListed = ({id, bornAtMs}: GroupInstance): boolean =>
      id === primary ||
      listed.some(each => each.id === id && each.bornAtMs === bornAtMs);
    const leaving = [...this.sightings.values()]
      .filter(({isLeaving, instance}) => isLeaving && isListed(instance))
      .map(({instance}) => instance);
    const absent = this.mayReturn(this.updatedAtMs).filter(
      instance => !isListed(instance),
    );
    return {
      ...(leaving.length > 0 ? {leaving} : {}),
      ...(absent.length > 0 ? {absent} : {}),
    };
  }

  /** Adds an absent instance that a record names, unless the same or a later incarnation is known. */
  private learn(instance: GroupInstance, nowMs: number): void {
    const known = this.sightings.get(instance.id)?.instance;
    const isNewer =
      known === undefined || (instance.bornAtMs ?? 0) > (known.bornAtMs ?? 0);
    if (!isNewer) return;
    this.sightings.set(instance.id, {
      instance,
      isLeaving: false,
      address: undefined,
      absentSinceMs: nowMs,
    });
  }

  /** Removes the instances that were absent for too long, except those that may be named again. */
  private forget(named: readonly GroupInstance[]): void {
    const returnWithinMs = this.returnWithinMs();
    for (const [id, {absentSinceMs = Infinity}] of this.sightings) {
      const isExpired = this.updatedAtMs - absentSinceMs >= returnWithinMs;
      if (isExpired && !named.some(each => each.id === id))
        this.sightings.delete(id);
    }
  }

  private isExpected(
    {absentSinceMs, isLeaving}: Sighting,
    nowMs: number,
  ): boolean {
    return (
      absentSinceMs !== undefined &&
      !isLeaving &&
      nowMs - absentSinceMs < this.returnWithinMs()
    );
  }
}

/** Returns all instances that a record names. */
function recordedInstances({
  primary,
  confirmers,
}: PrimaryRecord): GroupInstance[] {
  return [
    ...(confirmers?.instances ?? []),
    ...(confirmers?.absent ?? []),
    // Says which incarnation of the primary is leaving.
    ...(confirmers?.leaving ?? []),
    {id: primary, bornAtMs: undefined},
  ];
}

/** Returns whether two incarnations of an instance may be the same one. */
function mayBeSame(known: GroupInstance, other: GroupInstance): boolean {
  return known.bornAtMs === undefined || known.bornAtMs === other.bornAtMs;
}

/** Returns whether a later instance is registered at the address of another one, whose log it has or replaces. */
function hasTakenAddress(
  {id, bornAtMs = -Infinity, address}: PresentInstance,
  sighting: Sighting,
): boolean {
  const {instance} = sighting;
  return (
    address === sighting.address &&
    id !== instance.id &&
    bornAtMs > (instance.bornAtMs ?? Infinity)
  );
}
