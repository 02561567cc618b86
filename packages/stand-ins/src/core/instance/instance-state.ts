import type {LogPosition, VoterSet} from '@sapphireglade/decisions';
import {
  comparePositions,
  EMPTY_POSITION,
  mergeVoterSets,
} from '@sapphireglade/decisions';
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

/** Term of the initial primary. */
export const FIRST_TERM = 1;

/** Recorded grant or role change, kept for the check of a history. */
export interface TermEvent {
  readonly kind: 'granted' | 'promoted' | 'followed';
  readonly term: number;
  /** Wall clock time, in milliseconds. */
  readonly at: number;
  /** Last log position at that time. */
  readonly position: LogPosition;
  /** Number of log entries dropped in order to follow. */
  readonly droppedEntries: number;
}

/**
 * Role, term, log and rows of an instance; kept while its port is closed and
 * reopened.
 */
export class InstanceState {
  readonly database = new Database();
  /** Emits when the log, the granted term or the role changes. */
  readonly changes$ = new Subject<void>();
  readonly termEvents: TermEvent[] = [];
  private readonly confirmed = new Map<string, LogPosition>();
  private currentRole: 'primary' | 'replica';
  private currentTerm = FIRST_TERM;
  private highestGrantedTerm = FIRST_TERM;
  private followed: PeerInstance | undefined;
  private voterSets: readonly VoterSet[];
  private proposedVoterSets: readonly VoterSet[] = [];

  /**
   * @param primary - Primary to follow; undefined to start as primary.
   * @param voters - Voters of the first term; undefined if they are not known.
   */
  constructor(
    primary: PeerInstance | undefined,
    voters?: readonly string[] | undefined,
  ) {
    this.voterSets =
      voters === undefined ? [] : [{term: FIRST_TERM, instances: voters}];
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

  /** Primary to replicate from; undefined after a grant of a higher term. */
  get primary(): PeerInstance | undefined {
    const isCurrent = this.highestGrantedTerm === this.currentTerm;
    return isCurrent ? this.followed : undefined;
  }

  /** On a primary: the last position that each replica has confirmed. */
  get replicas(): Record<string, LogPosition> {
    return Object.fromEntries(this.confirmed);
  }

  /** Voter sets that this instance reports. */
  get keptVoterSets(): Pick<
    GrantTermResponse,
    'voterSets' | 'proposedVoterSets'
  > {
    const {voterSets, proposedVoterSets} = this;
    const isKnown = voterSets.length > 0;
    return {voterSets: isKnown ? voterSets : undefined, proposedVoterSets};
  }

  /** Grants a term if it is higher than every term granted before. */
  grant({term, voters}: GrantTermRequest): GrantTermResponse {
    const granted = term > this.highestGrantedTerm;
    if (granted) {
      this.highestGrantedTerm = term;
      if (voters !== undefined) this.keepProposedVoters(voters);
      this.record('granted', term);
      this.changes$.next();
    }
    return {
      granted,
      grantedTerm: this.highestGrantedTerm,
      position: this.position,
      termStarts: this.database.log.latestTermStarts,
      ...this.keptVoterSets,
    };
  }

  /**
   * Makes this instance the primary of the term that it granted last.
   *
   * @throws RefusalError if the term is not the one granted last, or the
   *   instance is a replica in this term.
   */
  promote(
    term: number,
    replicas: readonly PeerInstance[],
    voterSets: readonly VoterSet[] | undefined,
  ): void {
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
    this.keepVoterSets(term, voterSets);
    this.confirmed.clear();
    for (const {instance} of replicas) {
      this.confirmed.set(instance, EMPTY_POSITION);
    }
    this.record('promoted', term);
    this.database.beginTerm(term);
    this.changes$.next();
  }

  /**
   * Checks that the instance can follow in a term.
   *
   * @throws RefusalError if a higher term was granted, or the instance is the
   *   primary of this term.
   */
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
   * Follows the primary of a term and drops the entries that the primary lacks.
   *
   * @returns Number of dropped entries.
   */
  follow(
    term: number,
    primary: PeerInstance,
    history: HistoryResponse,
    voterSets: readonly VoterSet[] | undefined,
  ): number {
    this.assertCanFollow(term);
    const {log} = this.database;
    const common = log.findCommonPosition(history.last, history.termStarts);
    const dropped = this.database.truncate(common);
    this.currentRole = 'replica';
    this.currentTerm = term;
    this.highestGrantedTerm = term;
    this.followed = primary;
    this.keepVoterSets(term, voterSets);
    this.confirmed.clear();
    this.record('followed', term, dropped);
    this.changes$.next();
    return dropped;
  }

  /**
   * Appends entries pulled from the primary of a term. Ignores them if the
   * instance no longer follows in that term or they don't continue its log.
   */
  appendReplicated(term: number, entries: readonly LogEntry[]): void {
    const isFollowing =
      this.currentRole === 'replica' &&
      this.currentTerm === term &&
      this.highestGrantedTerm === term;
    if (!isFollowing || entries.length === 0) return;
    const expected = this.position.position + 1;
    if (entries[0]?.position !== expected) return;
    for (const entry of entries) this.database.replicate(entry);
    this.changes$.next();
  }

  /**
   * Records the last position of a replica as confirmed.
   *
   * @throws RefusalError if this instance isn't primary in the term, or lacks
   *   the entry at that position.
   */
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

  /**
   * Checks that this instance is the primary of a term.
   *
   * @param term - Required term; undefined for the current one.
   * @throws RefusalError if it is not.
   */
  assertLeading(term: number | undefined): void {
    if (term !== undefined && term < this.highestGrantedTerm) {
      throw this.createStaleTermError(term);
    }
    const isLeading =
      this.currentRole === 'primary' &&
      this.currentTerm === this.highestGrantedTerm &&
      (term ?? this.currentTerm) === this.currentTerm;
    if (isLeading) return;
    throw this.refuse(
      RefusalReason.NotPrimary,
      'The instance is not primary in this term.',
    );
  }

  /**
   * Checks that the log has reached a position.
   *
   * @throws RefusalError if it is behind.
   */
  assertPositionReached(minimum: LogPosition | undefined): void {
    if (minimum === undefined) return;
    if (comparePositions(this.position, minimum) >= 0) return;
    throw this.refuse(
      RefusalReason.BehindPosition,
      'The instance has not reached the required position.',
    );
  }

  /** Commits changes as one log entry of the current term. */
  commit(changes: OpenTransaction['changes'] | readonly never[]): LogPosition {
    const position = this.database.commit(this.currentTerm, changes);
    if (changes.length > 0) this.changes$.next();
    return position;
  }

  /** Creates a refusal that reports the highest granted term. */
  refuse(reason: RefusalReason, message: string): RefusalError {
    return new RefusalError(reason, message, this.highestGrantedTerm);
  }

  /** Keeps the voters of a granted term; equal ones of lower terms go. */
  private keepProposedVoters(voters: VoterSet): void {
    this.proposedVoterSets = mergeVoterSets([
      ...this.proposedVoterSets,
      voters,
    ]);
  }

  /** Keeps the voter sets of a term in which this instance leads or follows. */
  private keepVoterSets(
    term: number,
    voterSets: readonly VoterSet[] | undefined,
  ): void {
    if (voterSets === undefined) return;
    this.voterSets = voterSets;
    this.proposedVoterSets = this.proposedVoterSets.filter(
      proposed => proposed.term > term,
    );
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
