import type {ClockReading, GroupInstance} from '@sapphireglade/decisions';
import {elapsedMs} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {filter, firstValueFrom, Subject, takeUntil, timer} from 'rxjs';
import {readClocks, steadyNowMs, wholeMilliseconds} from '../time/index.js';
import {FormerEntries} from './former-entries.js';
import type {RegisteredInstance} from './types.js';

/**
 * How long an instance is kept after its entry was removed, in milliseconds.
 * Entries that expired while the store was unavailable are registered again
 * within two seconds.
 */
const MISSING_GRACE_MS = 2_500;

/**
 * Added to the grace period where the directory is read from stale responses,
 * in milliseconds.
 */
const STALE_READ_GRACE_MS = 4_000;

/** A registered instance, and since when its entry is missing. */
interface DirectoryEntry {
  instance: RegisteredInstance;
  missingSinceMs: number | undefined;
  /**
   * Confirmation of the directory before the one in which the instance was
   * leaving or missing; undefined if there was none.
   */
  stayedAt: ClockReading | undefined;
}

/**
 * The instances that have registered themselves, without those missing for
 * longer than the grace period.
 */
export class InstanceDirectory {
  private readonly entries = new Map<string, DirectoryEntry>();
  private readonly formerEntries = new FormerEntries();
  private readonly changes = new Subject<void>();
  private readonly confirmations = new Subject<ClockReading>();
  private zones = 0;
  private confirmedAt: ClockReading | undefined;

  /**
   * @param log - Receives a line for each instance that registers or is
   *   removed.
   */
  constructor(private readonly log: Logger) {}

  /** Emits after each change. */
  get changes$(): Subject<void> {
    return this.changes;
  }

  /** All instances that have not been removed. */
  get instances(): RegisteredInstance[] {
    return [...this.entries.values()].map(({instance}) => instance);
  }

  /** Returns an instance that has not been removed. */
  find(id: string): RegisteredInstance | undefined {
    return this.entries.get(id)?.instance;
  }

  /** Returns whether an instance's entry is currently present. */
  isRegistered(id: string): boolean {
    const entry = this.entries.get(id);
    return entry !== undefined && entry.missingSinceMs === undefined;
  }

  /** Returns the instances of one group. */
  findByGroup(group: string): RegisteredInstance[] {
    return this.instances.filter(instance => instance.group === group);
  }

  /**
   * Handles that every change of the directory up to a request has been applied.
   *
   * @param sentAt - When the request was sent.
   */
  confirm(sentAt: ClockReading): void {
    this.confirmedAt = sentAt;
    this.confirmations.next(sentAt);
  }

  /**
   * Waits until the directory is confirmed by a request that was sent after a
   * time, or until a time limit.
   *
   * @param sinceMs - The time, in milliseconds of the steady clock.
   * @param timeoutMs - The time limit, in milliseconds.
   */
  async awaitConfirmation(sinceMs: number, timeoutMs: number): Promise<void> {
    const confirmed$ = this.confirmations.pipe(
      filter(({steadyMs}) => steadyMs >= sinceMs),
      takeUntil(timer(timeoutMs)),
    );
    await firstValueFrom(confirmed$, {defaultValue: undefined});
  }

  /**
   * Time since the request whose response was the newest confirmed state, in
   * milliseconds; Infinity if there was none.
   */
  get ageMs(): number {
    return ageOf(this.confirmedAt);
  }

  /**
   * Returns the time since an instance was last confirmed not to be leaving, in
   * milliseconds; Infinity if it never was.
   */
  stayedAgoMs(id: string): number {
    const entry = this.entries.get(id);
    if (entry === undefined) return Infinity;
    return ageOf(isStaying(entry) ? this.confirmedAt : entry.stayedAt);
  }

  /**
   * Returns when the last response was requested that showed the entry of an
   * incarnation of an instance, in milliseconds of the steady clock; Infinity if
   * that is not known.
   */
  lastListedAtMs(instance: GroupInstance): number {
    const entry = this.entries.get(instance.id);
    const isListed =
      entry?.instance.bornAtMs === instance.bornAtMs &&
      entry?.missingSinceMs === undefined;
    const listedAt = isListed
      ? this.confirmedAt
      : this.formerEntries.find(instance);
    return listedAt?.steadyMs ?? Infinity;
  }

  /** Increases when an instance joins or leaves an availability zone. */
  get zoneVersion(): number {
    return this.zones;
  }

  /** Returns how many groups have an instance in an availability zone. */
  countGroupsInZone(zone: string): number {
    const groups = this.instances
      .filter(each => each.availabilityZone === zone)
      .map(({group}) => group);
    return new Set(groups).size;
  }

  /**
   * Adds or updates a registered instance. One that is leaving stays so until it
   * starts again, because a restored store may list what it wrote before.
   */
  register(registration: RegisteredInstance): void {
    const entry = this.entries.get(registration.id);
    if (
      entry !== undefined &&
      isOlderRegistration(registration, entry.instance)
    ) {
      entry.missingSinceMs = undefined;
      return;
    }
    const isLeaving =
      registration.isLeaving || hasLeft(registration, entry?.instance);
    const instance = {...registration, isLeaving};
    const wasStaying = entry === undefined || isStaying(entry);
    this.entries.set(instance.id, {
      instance,
      missingSinceMs: undefined,
      stayedAt: wasStaying ? this.confirmedAt : entry.stayedAt,
    });
    const previous = entry?.instance;
    if (previous !== undefined && previous.bornAtMs !== instance.bornAtMs)
      this.recordFormer(entry);
    if (previous?.availabilityZone !== instance.availabilityZone)
      this.zones += 1;
    if (previous !== undefined && isSameRegistration(previous, instance))
      return;
    this.logChange(instance);
    this.changes.next();
  }

  /** Marks the entry of an instance as removed. */
  markMissing(id: string): void {
    const entry = this.entries.get(id);
    if (entry === undefined || entry.missingSinceMs !== undefined) return;
    if (isStaying(entry)) entry.stayedAt = this.confirmedAt;
    this.recordFormer(entry);
    entry.missingSinceMs = steadyNowMs();
    this.log.warn('The entry of an instance was removed.', {
      instance: id,
      group: entry.instance.group,
      stayedAgoMs: wholeMilliseconds(ageOf(entry.stayedAt)),
    });
  }

  /**
   * Replaces all entries; instances that are not among them are marked as
   * missing.
   */
  replaceAll(instances: readonly RegisteredInstance[]): void {
    const present = new Set(instances.map(({id}) => id));
    for (const id of this.entries.keys())
      if (!present.has(id)) this.markMissing(id);
    for (const instance of instances) this.register(instance);
  }

  /**
   * Removes the instances whose entries were still missing in a response that
   * was requested after the grace period.
   *
   * @param observedAtMs - When the newest response was requested, in
   *   milliseconds of the steady clock; undefined while the store does not
   *   respond.
   * @param isStale - Whether the directory is read from stale responses, so
   *   that a returning entry would be received late.
   * @returns Whether an instance is kept only until a newer response confirms
   *   that its entry is still missing.
   */
  removeMissing(observedAtMs: number | undefined, isStale: boolean): boolean {
    if (observedAtMs === undefined) {
      this.restartGracePeriods();
      return false;
    }
    const graceMs = MISSING_GRACE_MS + (isStale ? STALE_READ_GRACE_MS : 0);
    let awaitsResponse = false;
    for (const [id, {missingSinceMs}] of this.entries) {
      if (missingSinceMs === undefined) continue;
      const removableAtMs = missingSinceMs + graceMs;
      if (removableAtMs > observedAtMs) {
        awaitsResponse ||= removableAtMs <= steadyNowMs();
        continue;
      }
      this.entries.delete(id);
      this.zones += 1;
      this.log.warn('An instance was removed after its grace period.', {
        instance: id,
      });
      this.changes.next();
    }
    return awaitsResponse;
  }

  /**
   * Restarts all grace periods. A returning entry cannot be received while the
   * store is unavailable.
   */
  private restartGracePeriods(): void {
    const nowMs = steadyNowMs();
    for (const entry of this.entries.values()) {
      if (entry.missingSinceMs !== undefined) entry.missingSinceMs = nowMs;
    }
  }

  /** Records an entry that is not listed any more, unless it was missing already. */
  private recordFormer(entry: DirectoryEntry | undefined): void {
    if (entry === undefined || entry.missingSinceMs !== undefined) return;
    if (this.confirmedAt !== undefined)
      this.formerEntries.record(entry.instance, this.confirmedAt);
  }

  private logChange(instance: RegisteredInstance): void {
    this.log.info('An instance registered.', {
      instance: instance.id,
      group: instance.group,
      zone: instance.availabilityZone,
      address: `${instance.host}:${instance.port}`,
      leaving: instance.isLeaving,
      claimsPrimary: instance.claimsPrimary,
      bornAtMs: instance.bornAtMs,
      stayedAgoMs: wholeMilliseconds(this.stayedAgoMs(instance.id)),
    });
  }
}

/** Returns whether an entry is present and its instance is not leaving. */
function isStaying({instance, missingSinceMs}: DirectoryEntry): boolean {
  return missingSinceMs === undefined && !instance.isLeaving;
}

/** Returns the time since a reading of the clocks, in milliseconds. */
function ageOf(reading: ClockReading | undefined): number {
  return reading === undefined ? Infinity : elapsedMs(reading, readClocks());
}

/**
 * Returns whether a registration precedes another one of the same incarnation; a
 * restored store lists such registrations.
 */
function isOlderRegistration(
  registration: RegisteredInstance,
  other: RegisteredInstance,
): boolean {
  return (
    registration.bornAtMs === other.bornAtMs &&
    registration.sequence !== undefined &&
    other.sequence !== undefined &&
    registration.sequence < other.sequence
  );
}

/** Returns whether an incarnation was leaving before it registered again. */
function hasLeft(
  {bornAtMs}: RegisteredInstance,
  previous: RegisteredInstance | undefined,
): boolean {
  return (
    previous?.isLeaving === true &&
    bornAtMs !== undefined &&
    bornAtMs === previous.bornAtMs
  );
}

/** Returns whether both registrations of an instance are the same. */
function isSameRegistration(
  previous: RegisteredInstance,
  next: RegisteredInstance,
): boolean {
  return (
    previous.group === next.group &&
    previous.host === next.host &&
    previous.port === next.port &&
    previous.availabilityZone === next.availabilityZone &&
    previous.isLeaving === next.isLeaving &&
    previous.claimsPrimary === next.claimsPrimary &&
    previous.slots === next.slots &&
    previous.bornAtMs === next.bornAtMs
  );
}
