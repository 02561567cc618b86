import type {LogPosition} from '@sapphireglade/decisions';
import {comparePositions, EMPTY_POSITION} from '@sapphireglade/decisions';
import type {
  GrantTermResponse,
  GrantTermRequest,
  PeerInstance,
} from '@sapphireglade/protocol';
import {RefusalReason} from '@sapphireglade/protocol';
import {Subject} from 'rxjs';
import type {OpenTransaction} from './database.js';
import {Database} from './database.js';
import {RefusalError} from './refusal-error.js';
import type {HistoryResponse, ReplicateRequest} from './replication-schemas.js';
import type {LogEntry} from './replicated-log.js';

/** Term of the first primary. */
export const FIRST_TERM = 1;

/** One change of who may lead, kept for the check of a whole history. */
export interface TermEvent {
  readonly kind: 'granted' | 'promoted' | 'followed';
  readonly term: number;
  /** Wall clock, in milliseconds. */
  readonly at: number;
  /** Last position at that moment. */
  readonly position: LogPosition;
  /** Entries dropped in order to follow. */
  readonly droppedEntries: number;
}

/** Role, term, log and rows of an instance; survives a restart. */
export class InstanceState {
  readonly database = new Database();
  /** Emits whenever the log, a grant or the role changes. */
  readonly changes$ = new Subject<void>();
  readonly termEvents: TermEvent[] = [];
  private readonly confirmed = new Map<string, LogPosition>();
  private currentRole: 'primary' | 'replica';
  private currentTerm = FIRST_TERM;
  private highestGrantedTerm = FIRST_TERM;
  private followed: PeerInstance | undefined;

  /** @param primary - The primary to follow; undefined to lead. */
  constructor(primary: PeerInstance | undefined) {
    this.currentRole = primary === undefined ? 'primary' : 'replica';
    this.followed = primary;
    if (primary === undefined) this.database.beginTerm(FIRST_TERM);
  }

  get role(): 'primary' | 'replica' {
    return this.currentRole;
  }

  get term(): number {
    return this.currentTerm;
  }

  get grantedTerm(): number {
    return this.highestGrantedTerm;
  }

  get position(): LogPosition {
    return this.database.log.last;
  }

  /** The primary that this instance follows, if it may still follow it. */
  get primary(): PeerInstance | undefined {
    const isCurrent = this.highestGrantedTerm === this.currentTerm;
    return isCurrent ? this.followed : undefined;
  }

  /** At a primary: the last position that each replica has confirmed. */
  get replicas(): Record<string, LogPosition> {
    return Object.fromEntries(this.confirmed);
  }

  /** Grants a term, once, if it is higher than every term before. */
  grant({term}: GrantTermRequest): GrantTermResponse {
    const granted = term > this.highestGrantedTerm;
    if (granted) {
      this.highestGrantedTerm = term;
      this.record('granted', term);
      this.changes$.next();
    }
    return {
      granted,
      grantedTerm: this.highestGrantedTerm,
      position: this.position,
      termStarts: this.database.log.latestTermStarts,
    };
  }

  /**
   * Makes this instance primary of the term that it granted last.
   *
   * @throws RefusalError if it granted a higher one or follows in this term.
   */
  promote(term: number, replicas: readonly PeerInstance[]): void {
    if (term !== this.highestGrantedTerm) throw this.createStaleTermError(term);
    if (this.currentTerm === term) {
      if (this.currentRole === 'primary') return;
      throw this.refuse(
        RefusalReason.Invalid,
        'The instance follows another one in this term.',
      );
    }
    this.currentRole = 'primary';
    this.currentTerm = term;
    this.followed = undefined;
    this.confirmed.clear();
    for (const {instance} of replicas) {
      this.confirmed.set(instance, EMPTY_POSITION);
    }
    this.record('promoted', term);
    this.database.beginTerm(term);
    this.changes$.next();
  }

  /** Refuses to follow in a term unless it is the highest one granted. */
  assertCanFollow(term: number): void {
    if (term < this.highestGrantedTerm) throw this.createStaleTermError(term);
    if (term === this.currentTerm && this.currentRole === 'primary') {
      throw this.refuse(
        RefusalReason.Invalid,
        'The instance leads in this term.',
      );
    }
  }

  /**
   * Follows the primary of a term; the entries that it lacks are dropped.
   *
   * @returns How many entries were dropped.
   */
  follow(
    term: number,
    primary: PeerInstance,
    history: HistoryResponse,
  ): number {
    this.assertCanFollow(term);
    const {log} = this.database;
    const common = log.findCommonPosition(history.last, history.termStarts);
    const dropped = this.database.truncate(common);
    this.currentRole = 'replica';
    this.currentTerm = term;
    this.highestGrantedTerm = term;
    this.followed = primary;
    this.confirmed.clear();
    this.record('followed', term, dropped);
    this.changes$.next();
    return dropped;
  }

  /** Takes entries that were pulled from the primary of a term. */
  appendReplicated(term: number, entries: readonly LogEntry[]): void {
    const mayFollow =
      this.currentRole === 'replica' &&
      this.currentTerm === term &&
      this.highestGrantedTerm === term;
    if (!mayFollow || entries.length === 0) return;
    const expected = this.position.position + 1;
    if (entries[0]?.position !== expected) return;
    for (const entry of entries) this.database.replicate(entry);
    this.changes$.next();
  }

  /** Counts what a follower holds as confirmed. */
  recordConfirmation({instance, term, after}: ReplicateRequest): void {
    this.assertLeading(term);
    if (!this.database.log.hasEntry(after)) {
      throw this.refuse(
        RefusalReason.Invalid,
        'The follower holds entries that the primary does not have.',
      );
    }
    const known = this.confirmed.get(instance) ?? EMPTY_POSITION;
    if (comparePositions(after, known) > 0) this.confirmed.set(instance, after);
  }

  /** Refuses unless this instance leads in the term. */
  assertLeading(term: number | undefined): void {
    if (term !== undefined && term < this.highestGrantedTerm) {
      throw this.createStaleTermError(term);
    }
    const leads =
      this.currentRole === 'primary' &&
      this.currentTerm === this.highestGrantedTerm &&
      (term ?? this.currentTerm) === this.currentTerm;
    if (leads) return;
    throw this.refuse(
      RefusalReason.NotPrimary,
      'The instance is not primary in this term.',
    );
  }

  /** Refuses a read that the instance is behind for. */
  assertPositionReached(minimum: LogPosition | undefined): void {
    if (minimum === undefined) return;
    if (comparePositions(this.position, minimum) >= 0) return;
    throw this.refuse(
      RefusalReason.BehindPosition,
      'The instance has not reached the required position.',
    );
  }

  /** Commits changes as one entry of the present term. */
  commit(changes: OpenTransaction['changes'] | readonly never[]): LogPosition {
    const position = this.database.commit(this.currentTerm, changes);
    if (changes.length > 0) this.changes$.next();
    return position;
  }

  /** Makes a refusal that names the highest term granted. */
  refuse(reason: RefusalReason, message: string): RefusalError {
    return new RefusalError(reason, message, this.highestGrantedTerm);
  }

  private createStaleTermError(term: number): RefusalError {
    return this.refuse(
      RefusalReason.StaleTerm,
      `Term ${term} is not the highest one granted.`,
    );
  }

  private record(
    kind: TermEvent['kind'],
    term: number,
    droppedEntries = 0,
  ): void {
    const {position} = this;
    this.termEvents.push({
      kind,
      term,
      at: Date.now(),
      position,
      droppedEntries,
    });
  }
}
