import type {PrimaryRecord} from '@sapphireglade/decisions';
import {formatPosition, PrimaryPhase} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import type {StoredItem} from '../store/index.js';
import {limitedKey, StorePrefixListener} from '../store/index.js';
import {readClocks} from '../time/index.js';
import type {GroupRegistry} from './group-registry.js';

/** Prefix of the keys that record each group's primary. */
export const PRIMARY_RECORD_PREFIX = 'sapphireglade/primary/';

/** Returns the key of a group's primary record. */
export function primaryRecordKey(group: string): string {
  return limitedKey(PRIMARY_RECORD_PREFIX, group);
}

/** A record as it is stored. */
type StoredRecord = PrimaryRecord & {
  /** Name of the group, if the key does not contain it. */
  readonly group?: string | undefined;
};

/** Returns the value that is stored under the key of a group's primary record. */
export function encodePrimaryRecord(
  group: string,
  record: PrimaryRecord,
): string {
  const hasPlainKey = primaryRecordKey(group) === PRIMARY_RECORD_PREFIX + group;
  const stored: StoredRecord = hasPlainKey ? record : {...record, group};
  return JSON.stringify(stored);
}

/** Applies the primary records of the store to the groups. */
export class PrimaryRecords extends StorePrefixListener {
  /**
   * @param groups - The groups.
   * @param generation - Returns the generation of the store that is read.
   * @param log - Receives a line for each record.
   */
  constructor(
    private readonly groups: GroupRegistry,
    private readonly generation: () => number,
    private readonly log: Logger,
  ) {
    super(PRIMARY_RECORD_PREFIX);
  }

  override onSnapshot(items: readonly StoredItem[]): void {
    for (const item of items) this.onPut(item);
  }

  override onPut(item: StoredItem): void {
    const stored = parseRecord(item);
    if (stored === undefined) {
      this.log.error('A primary record is invalid and was ignored.', {
        key: item.key,
      });
      return;
    }
    const {
      group: name = item.key.slice(PRIMARY_RECORD_PREFIX.length),
      ...record
    } = stored;
    const group = this.groups.getOrCreate(name);
    const viewAgeMs = group.viewFreshness.ageMs(readClocks());
    const {target, lastPosition, confirmers} = record;
    const departedPosition = confirmers?.departedPosition;
    const generation = this.generation();
    group.applyRecord({record, revision: item.revision, generation});
    this.log.info('A primary was recorded.', {
      group: name,
      key: stored.group === undefined ? undefined : item.key,
      primary: record.primary,
      term: record.term,
      phase: record.phase,
      target,
      lastPosition: lastPosition && formatPosition(lastPosition),
      orders: record.orders,
      confirmers: confirmers?.instances.map(({id}) => id).join(' '),
      departedPosition: departedPosition && formatPosition(departedPosition),
      revision: item.revision,
      generation,
      writtenInGeneration: record.generation,
      viewAgeMs: Math.round(viewAgeMs),
    });
  }

  override onRestored(): void {
    for (const group of this.groups.all) group.onStoreRestored();
  }

  override onDelete(key: string): void {
    this.log.warn('A primary record was removed.', {key});
  }
}

/** Parses a record. Returns undefined if it is invalid or of another key. */
function parseRecord({key, value}: StoredItem): StoredRecord | undefined {
  let content: unknown;
  try {
    content = JSON.parse(value.toString('utf8'));
  } catch {
    // The caller logs the invalid record.
    return undefined;
  }
  const record = content as Partial<StoredRecord> | null;
  const isRecord =
    typeof record?.term === 'number' &&
    typeof record.primary === 'string' &&
    (record.phase === PrimaryPhase.Steady ||
      record.phase === PrimaryPhase.Changing);
  if (!isRecord) return undefined;
  const {group} = record;
  const isOfKey =
    group === undefined ||
    (typeof group === 'string' && primaryRecordKey(group) === key);
  return isOfKey ? (record as StoredRecord) : undefined;
}
