import type {Logger} from '@sapphireglade/runtime';
import {Subject} from 'rxjs';
import * as z from 'zod';
import type {StoredItem} from '../store/index.js';
import {StorePrefixListener} from '../store/index.js';
import {steadyNowMs} from '../time/index.js';
import type {MemberRecord} from './types.js';

/** Prefix of the keys under which proxies publish themselves. */
export const MEMBER_PREFIX = 'sapphireglade/members/';

const memberSchema = z.object({
  name: z.string(),
  incarnation: z.string(),
  availabilityZone: z.string(),
  peerAddress: z.string(),
  capacity: z.number(),
  suspects: z.array(z.string()),
});

/** What a record says that was not known before. */
interface MemberUpdate {
  readonly name: string;
  /** Whether the proxy, or this start of it, was not listed. */
  readonly hasJoined: boolean;
  /** Whether a listed proxy can carry more or less than before. */
  readonly hasCapacityChanged: boolean;
}

/** The live proxies, as the store lists them. */
export class MemberList extends StorePrefixListener {
  private readonly live = new Map<string, MemberRecord>();
  private readonly departures = new Map<string, number>();
  private readonly changes = new Subject<void>();

  constructor(private readonly log: Logger) {
    super(MEMBER_PREFIX);
  }

  /** Emits after a proxy came, left or changed what it can do. */
  get changes$(): Subject<void> {
    return this.changes;
  }

  /** What the live proxies publish. */
  get records(): MemberRecord[] {
    return [...this.live.values()];
  }

  /** Finds a live proxy. */
  find(name: string): MemberRecord | undefined {
    return this.live.get(name);
  }

  /** Names of the live proxies. */
  get names(): string[] {
    return [...this.live.keys()];
  }

  /** When a proxy left the list, in milliseconds, if it has. */
  departedAtMs(name: string): number | undefined {
    return this.departures.get(name);
  }

  override onSnapshot(items: readonly StoredItem[]): void {
    const present = new Set(items.map(({key}) => key));
    for (const name of [...this.live.keys()]) {
      const key = MEMBER_PREFIX + name;
      if (!present.has(key)) this.onDelete(key);
    }
    // A list is one line; hundreds of them would push out what led to it.
    const news = items.flatMap(item => this.applyRecord(item) ?? []);
    const joined = news.filter(({hasJoined}) => hasJoined);
    if (joined.length > 0) {
      this.log.info('Proxies joined.', {
        count: joined.length,
        members: joined.map(({name}) => name).join(' '),
      });
    }
    if (news.some(affectsOwnership)) this.changes.next();
  }

  override onPut(item: StoredItem): void {
    const news = this.applyRecord(item);
    if (news === undefined || !affectsOwnership(news)) return;
    if (news.hasJoined) this.log.info('A proxy joined.', {member: news.name});
    this.changes.next();
  }

  /** Takes a record in. */
  private applyRecord(item: StoredItem): MemberUpdate | undefined {
    const record = parseMember(item.value);
    if (record === undefined) {
      this.log.error('A member record cannot be read.', {key: item.key});
      return undefined;
    }
    const {name, incarnation, capacity} = record;
    const known = this.live.get(name);
    this.live.set(name, record);
    this.departures.delete(name);
    const hasJoined = known?.incarnation !== incarnation;
    const carriesOther = !hasJoined && known.capacity !== capacity;
    return {name, hasJoined, hasCapacityChanged: carriesOther};
  }

  override onDelete(key: string): void {
    const name = key.slice(MEMBER_PREFIX.length);
    if (!this.live.delete(name)) return;
    this.departures.set(name, steadyNowMs());
    this.log.warn('A proxy left.', {member: name});
    this.changes.next();
  }
}

/** Whether ownership has to be planned anew. */
function affectsOwnership({
  hasJoined,
  hasCapacityChanged: carriesOther,
}: MemberUpdate): boolean {
  return hasJoined || carriesOther;
}

/** Reads a member record, or says that it is none. */
function parseMember(value: Buffer): MemberRecord | undefined {
  try {
    const result = memberSchema.safeParse(JSON.parse(value.toString('utf8')));
    return result.success ? result.data : undefined;
  } catch {
    // The caller logs what cannot be read.
    return undefined;
  }
}
