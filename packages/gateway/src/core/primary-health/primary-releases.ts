import type {LogPosition} from '@sapphireglade/decisions';
import {formatPosition, PrimaryPhase} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import type {
  DatabaseGroup,
  GroupRegistry,
  VersionedPrimaryRecord,
} from '../groups/index.js';
import type {CoordinationStore, StoredItem} from '../store/index.js';
import {limitedKey, StorePrefixListener} from '../store/index.js';
import {steadyNowMs} from '../time/index.js';
import {setTimeout as sleep} from 'node:timers/promises';

/**
 * How long transactions may continue after a planned change began, in
 * milliseconds; a third of the time such a change takes.
 */
const TRANSACTION_DRAIN_TIMEOUT_MS = 250;

/** Interval between two checks for active transactions, in milliseconds. */
const DRAIN_POLL_INTERVAL_MS = 10;

/**
 * Prefix of the keys under which proxies publish that they released a primary.
 */
export const RELEASE_PREFIX = 'sapphireglade/released/';

/**
 * Time after which commits that an earlier process of the same name acknowledged
 * need not be known, in milliseconds: each instance that confirmed one is listed
 * by then.
 */
export const REGISTRATION_MS = 2_000;

/** Stands for the position of a process that has acknowledged no commit. */
const NONE = '-';

/** The version of a record that a proxy has applied. */
type ReleasedRecord = Pick<VersionedPrimaryRecord, 'revision' | 'generation'>;

/** A release of a proxy. */
interface Release extends ReleasedRecord {
  /** What it has acknowledged; undefined if it does not know. */
  readonly acknowledged: AcknowledgedBound | undefined;
  /** Position that every log with a certain one of these commits has reached, if any is known. */
  readonly least: LogPosition | undefined;
}

/** Every commit that a proxy has acknowledged is included in a position. */
export interface AcknowledgedBound {
  /** The position; undefined if it has acknowledged none. */
  readonly position: LogPosition | undefined;
}

/**
 * Publishes in the store that this proxy no longer uses an old primary, and
 * tracks the releases of the other proxies.
 */
export class PrimaryReleases extends StorePrefixListener {
  /** The last record that each proxy has applied, by key. */
  private readonly released = new Map<string, Release>();

  constructor(
    private readonly self: string,
    private readonly store: CoordinationStore,
    private readonly leaseOf: () => number | undefined,
    private readonly log: Logger,
  ) {
    super(RELEASE_PREFIX);
  }

  /** Starts to publish releases for the records of a group. */
  follow(group: DatabaseGroup): void {
    group.records$.subscribe(known => void this.releasePrimary(group, known));
  }

  /**
   * Publishes the release; in a planned change the primary still works, so
   * transactions may finish first.
   */
  private async releasePrimary(
    group: DatabaseGroup,
    known: VersionedPrimaryRecord,
  ): Promise<void> {
    if (known.record.isPlanned === true && known.record.target === undefined) {
      await waitUntilIdle(group, known.record.primary);
    }
    await this.answer(group, known);
  }

  /**
   * Returns whether a proxy has released the primary that a record took out of
   * use.
   */
  hasReleased(
    group: string,
    member: string,
    {revision, generation = 0}: ReleasedRecord,
  ): boolean {
    const released = this.released.get(releaseKey(group, member));
    return (
      released !== undefined &&
      released.generation === generation &&
      released.revision >= revision
    );
  }

  /**
   * Returns what a proxy had acknowledged when it released the primary that a
   * record took out of use, if it has told.
   */
  acknowledgedBy(
    group: string,
    member: string,
    known: ReleasedRecord,
  ): AcknowledgedBound | undefined {
    return this.hasReleased(group, member, known)
      ? this.released.get(releaseKey(group, member))?.acknowledged
      : undefined;
  }

  /**
   * Returns a position that every log with all commits of a proxy has certainly
   * reached, by its last release, whichever record that was for.
   */
  leastAcknowledgedBy(group: string, member: string): LogPosition | undefined {
    return this.released.get(releaseKey(group, member))?.least;
  }

  override onRestored(): void {
    this.released.clear();
  }

  override onSnapshot(items: readonly StoredItem[]): void {
    for (const item of items) this.onPut(item);
  }

  override onPut(item: StoredItem): void {
    const record = parseRelease(item.value.toString('utf8'));
    if (record !== undefined) this.released.set(item.key, record);
    else
      this.log.error('A release is invalid and was ignored.', {key: item.key});
  }

  override onDelete(key: string): void {
    this.released.delete(key);
  }

  /**
   * Publishes the release. The record has been applied, so no new request is
   * sent to the old primary.
   */
  private async answer(
    group: DatabaseGroup,
    known: VersionedPrimaryRecord,
  ): Promise<void> {
    const leaseId = this.leaseOf();
    const isReleaseRequired = known.record.phase === PrimaryPhase.Changing;
    if (!isReleaseRequired || leaseId === undefined) return;
    try {
      await this.store.transact({
        conditions: [],
        puts: [
          {
            key: releaseKey(group.name, this.self),
            value: releaseValue(
              known,
              acknowledgedBound(group),
              group.acknowledged.leastPosition,
            ),
            leaseId,
          },
        ],
      });
    } catch (error) {
      // The change of primary waits until this proxy's view has expired.
      this.log.warn('A release could not be published.', {
        group: group.name,
        revision: known.revision,
        error: String(error),
      });
    }
  }
}

/**
 * Returns the key of a release. A slash in a name is encoded, so that the key of no
 * other group and proxy is the same; without a slash, the key has a digest of both.
 */
function releaseKey(group: string, proxy: string): string {
  const name = [group, proxy].map(encodeNamePart).join('/');
  return limitedKey(RELEASE_PREFIX, name);
}

function encodeNamePart(name: string): string {
  return name.replace(/[%/]/g, encodeURIComponent);
}

/**
 * Returns what this process has acknowledged; undefined if it does not know, or
 * has run for too short to answer for the process before it.
 */
export function acknowledgedBound({
  acknowledged,
}: DatabaseGroup): AcknowledgedBound | undefined {
  // The steady clock counts from the start of the process.
  const isKnown = acknowledged.isComplete && steadyNowMs() >= REGISTRATION_MS;
  return isKnown ? {position: acknowledged.position} : undefined;
}

/**
 * Returns the value of a release.
 *
 * @param record - The record that was applied.
 * @param acknowledged - What the process has acknowledged, if it knows.
 * @param least - Position that every log with all of it has certainly reached.
 */
export function releaseValue(
  {revision, generation = 0}: ReleasedRecord,
  acknowledged?: AcknowledgedBound,
  least?: LogPosition,
): string {
  const parts = [`${generation}`, `${revision}`];
  if (acknowledged !== undefined || least !== undefined)
    parts.push(acknowledged === undefined ? '' : formatBound(acknowledged));
  if (least !== undefined) parts.push(formatPosition(least));
  return parts.join('/');
}

function formatBound({position}: AcknowledgedBound): string {
  return position === undefined ? NONE : formatPosition(position);
}

/** Parses the value of a release. Returns undefined if it is invalid. */
function parseRelease(value: string): Release | undefined {
  const [generation, revision, acknowledged, least] = value.split('/');
  const record = {generation: Number(generation), revision: Number(revision)};
  return Object.values(record).every(Number.isSafeInteger)
    ? {
        ...record,
        acknowledged: parseAcknowledged(acknowledged),
        least: parsePosition(least),
      }
    : undefined;
}

function parseAcknowledged(
  text: string | undefined,
): AcknowledgedBound | undefined {
  if (text === NONE) return {position: undefined};
  const position = parsePosition(text);
  return position && {position};
}

function parsePosition(text: string | undefined): LogPosition | undefined {
  const [term, position] = (text ?? '').split('.').map(Number);
  return Number.isSafeInteger(term) && Number.isSafeInteger(position)
    ? {term: term!, position: position!}
    : undefined;
}

/** Waits until no statement or transaction uses an instance. */
async function waitUntilIdle(group: DatabaseGroup, id: string): Promise<void> {
  const deadlineMs = steadyNowMs() + TRANSACTION_DRAIN_TIMEOUT_MS;
  while (steadyNowMs() < deadlineMs) {
    const pool = group.members.get(id)?.pool;
    if (pool === undefined || pool.idleCount >= pool.connections) return;
    await sleep(DRAIN_POLL_INTERVAL_MS);
  }
}

/** Publishes releases for the records of every group of the registry. */
export function followAllGroups(
  releases: PrimaryReleases,
  groups: GroupRegistry,
): void {
  groups.onGroup(group => releases.follow(group));
}
