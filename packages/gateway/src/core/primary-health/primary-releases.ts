import {PrimaryPhase} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import type {
  DatabaseGroup,
  GroupRegistry,
  VersionedPrimaryRecord,
} from '../groups/index.js';
import type {CoordinationStore, StoredItem} from '../store/index.js';
import {StorePrefixListener} from '../store/index.js';
import {steadyNowMs} from '../time/index.js';
import {setTimeout as sleep} from 'node:timers/promises';

/** How long transactions may go on after a planned change began, in milliseconds; a third of the time such a change takes. */
const TRANSACTION_DRAIN_TIMEOUT_MS = 250;

/** Pause between two looks at the transactions, in milliseconds. */
const DRAIN_POLL_INTERVAL_MS = 10;

/** Prefix of the keys under which proxies say that they let a primary go. */
export const RELEASE_PREFIX = 'sapphireglade/released/';

/**
 * Says in the store that this proxy no longer uses an old primary, and follows
 * what the others say.
 */
export class PrimaryReleases extends StorePrefixListener {
  /** Revision of the record that each proxy has taken in, by group and name. */
  private readonly revisions = new Map<string, number>();

  constructor(
    private readonly self: string,
    private readonly store: CoordinationStore,
    private readonly leaseOf: () => number | undefined,
    private readonly log: Logger,
  ) {
    super(RELEASE_PREFIX);
  }

  /** Begins to answer the records of a group. */
  follow(group: DatabaseGroup): void {
    group.records$.subscribe(known => void this.releasePrimary(group, known));
  }

  /** Transactions on a primary that still works may end first. */
  private async releasePrimary(
    group: DatabaseGroup,
    known: VersionedPrimaryRecord,
  ): Promise<void> {
    if (known.record.isPlanned === true && known.record.target === undefined) {
      await waitUntilIdle(group, known.record.primary);
    }
    await this.answer(group.name, known);
  }

  /** Says whether a proxy has let go of what a record took out of use. */
  hasReleased(group: string, member: string, recordRevision: number): boolean {
    const revision = this.revisions.get(`${group}/${member}`);
    return revision !== undefined && revision >= recordRevision;
  }

  override onSnapshot(items: readonly StoredItem[]): void {
    for (const item of items) this.onPut(item);
  }

  override onPut(item: StoredItem): void {
    const name = item.key.slice(RELEASE_PREFIX.length);
    const revision = Number(item.value.toString('utf8'));
    if (Number.isSafeInteger(revision)) this.revisions.set(name, revision);
    else this.log.error('A release cannot be read.', {key: item.key});
  }

  override onDelete(key: string): void {
    this.revisions.delete(key.slice(RELEASE_PREFIX.length));
  }

  /** The record has been taken in, so nothing new goes to the old primary. */
  private async answer(
    group: string,
    known: VersionedPrimaryRecord,
  ): Promise<void> {
    const leaseId = this.leaseOf();
    const isAsked = known.record.phase === PrimaryPhase.Changing;
    if (!isAsked || leaseId === undefined) return;
    try {
      await this.store.transact({
        conditions: [],
        puts: [
          {
            key: `${RELEASE_PREFIX}${group}/${this.self}`,
            value: String(known.revision),
            leaseId,
          },
        ],
      });
    } catch (error) {
      // The change of primary waits until this proxy's view has run out.
      this.log.warn('A release could not be published.', {
        group,
        revision: known.revision,
        error: String(error),
      });
    }
  }
}

/** Waits until no statement or transaction uses an instance. */
async function waitUntilIdle(group: DatabaseGroup, id: string): Promise<void> {
  const limitMs = steadyNowMs() + TRANSACTION_DRAIN_TIMEOUT_MS;
  while (steadyNowMs() < limitMs) {
    const pool = group.members.get(id)?.pool;
    if (pool === undefined || pool.idleCount >= pool.connections) return;
    await sleep(DRAIN_POLL_INTERVAL_MS);
  }
}

/** Answers the records of every group that the registry holds. */
export function followAllGroups(
  releases: PrimaryReleases,
  groups: GroupRegistry,
): void {
  groups.onGroup(group => releases.follow(group));
}
