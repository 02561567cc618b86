import type {Logger} from '@sapphireglade/runtime';
import {Subject} from 'rxjs';
import * as z from 'zod';
import type {StoredItem} from '../store/index.js';
import {StorePrefixListener} from '../store/index.js';
import {steadyNowMs} from '../time/index.js';
import type {MemberRecord} from './types.js';

/** Prefix of the keys under which live proxies publish their member records. */
export const MEMBER_PREFIX = 'sapphireglade/members/';

const memberSchema = z.object({
  name: z.string(),
  incarnation: z.string(),
  availabilityZone: z.string(),
  peerAddress: z.string(),
  capacity: z.number(),
  suspects: z.array(z.string()),
  suspectedTerms: z.array(z.number()).optional(),
  unobserved: z.array(z.string()).optional(),
});

/** Difference between a member record and its predecessor. */
interface MemberUpdate {
  readonly name: string;
  /** Whether the proxy, or this incarnation of it, was not listed before. */
  readonly hasJoined: boolean;
  /** Whether the capacity of a listed proxy changed. */
  readonly hasCapacityChanged: boolean;
}

/** The live proxies according to the store. */
export class MemberList extends StorePrefixListener {
  private readonly live = new Map<string, MemberRecord>();
  private readonly revisions = new Map<string, number>();
  private readonly departures = new Map<string, number>();
  private readonly changes = new Subject<void>();

  constructor(private readonly log: Logger) {
    super(MEMBER_PREFIX);
  }

  /** Emits after a proxy joined, left or changed its capacity. */
  get changes$(): Subject<void> {
    return this.changes;
  }

  /** Member records of the live proxies. */
  get records(): MemberRecord[] {
    return [...this.live.values()];
  }

  /** Finds a live proxy. */
  find(name: string): MemberRecord | undefined {
    return this.live.get(name);
  }

  /** Returns the revision of a live proxy's record; 0 if there is none. */
  revisionOf(name: string): number {
    return this.revisions.get(name) ?? 0;
  }

  /** Names of the live proxies. */
  get names(): string[] {
    return [...this.live.keys()];
  }

  /**
   * Returns when a proxy left the list, in milliseconds of the steady clock;
   * undefined if it has not.
   */
  departedAtMs(name: string): number | undefined {
    return this.departures.get(name);
  }

  override onSnapshot(items: readonly StoredItem[]): void {
    const present = new Set(items.map(({key}) => key));
    for (const name of [...this.live.keys()]) {
      const key = MEMBER_PREFIX + name;
      if (!present.has(key)) this.onDelete(key);
    }
    // A list is logged as one line, because hundreds of lines would displace
    // the earlier ones from the log.
    const updates = items.flatMap(item => this.applyRecord(item) ?? []);
    const joined = updates.filter(({hasJoined}) => hasJoined);
    if (joined.length > 0) {
      this.log.info('Proxies joined.', {
        count: joined.length,
        members: joined.map(({name}) => name).join(' '),
      });
    }
    if (updates.some(affectsOwnership)) this.changes.next();
  }

  override onPut(item: StoredItem): void {
    const update = this.applyRecord(item);
    if (update === undefined || !affectsOwnership(update)) return;
    if (update.hasJoined)
      this.log.info('A proxy joined.', {member: update.name});
    this.changes.next();
  }

  /** Applies a record. Returns undefined if it is invalid. */
  private applyRecord(item: StoredItem): MemberUpdate | undefined {
    const record = parseMember(item.value);
    if (record === undefined) {
      this.log.error('A member record is invalid and was ignored.', {
        key: item.key,
      });
      return undefined;
    }
    const {name, incarnation, capacity} = record;
    const previous = this.live.get(name);
    this.live.set(name, record);
    this.revisions.set(name, item.revision);
    this.departures.delete(name);
    const hasJoined = previous?.incarnation !== incarnation;
    const hasCapacityChanged = !hasJoined && previous.capacity !== capacity;
    return {name, hasJoined, hasCapacityChanged};
  }

  override onDelete(key: string): void {
    const name = key.slice(MEMBER_PREFIX.length);
    this.revisions.delete(name);
    if (!this.live.delete(name)) return;
    this.departures.set(name, steadyNowMs());
    this.log.warn('A proxy left.', {member: name});
    this.changes.next();
  }
}

/** Returns whether ownership has to be planned again after an update. */
function affectsOwnership({
  hasJoined,
  hasCapacityChanged,
}: MemberUpdate): boolean {
  return hasJoined || hasCapacityChanged;
}

/** Parses a member record. Returns undefined if it is invalid. */
function parseMember(value: Buffer): MemberRecord | undefined {
  try {
    const result = memberSchema.safeParse(JSON.parse(value.toString('utf8')));
    return result.success ? result.data : undefined;
  } catch {
    // The caller logs the invalid record.
    return undefined;
  }
}
