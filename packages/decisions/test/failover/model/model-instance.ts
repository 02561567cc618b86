import type {
  GrantAnswer,
  InstanceReport,
  InstanceRole,
  LogPosition,
  TermStart,
  VoterSet,
} from '../../../src/index.js';

/** An entry of a model instance's log. */
export interface ModelEntry {
  readonly term: number;
  readonly id: number;
}

/** An instance whose granted term and log survive a crash. */
export class ModelInstance {
  readonly replicas = new Map<string, LogPosition>();
  log: readonly ModelEntry[] = [];
  role: InstanceRole = 'replica';
  term = 0;
  grantedTerm = 0;
  primary = '';
  isUp = true;
  voterSets: readonly VoterSet[] = [];
  proposedVoterSets: readonly VoterSet[] = [];

  constructor(readonly name: string) {}

  get position(): LogPosition {
    return positionOf(this.log);
  }

  get report(): InstanceReport {
    const {role, term, grantedTerm, position, termStarts} = this;
    const replicas = Object.fromEntries(this.replicas);
    const instance = this.name;
    const stopping = false;
    const own = {instance, role, term, grantedTerm, position, termStarts};
    const {voterSets, proposedVoterSets} = this;
    return {...own, replicas, stopping, voterSets, proposedVoterSets};
  }

  grant(term: number, voters: VoterSet): GrantAnswer {
    const granted = term > this.grantedTerm;
    if (granted) {
      this.grantedTerm = term;
      this.role = 'replica';
      this.proposedVoterSets = [...this.proposedVoterSets, voters];
    }
    const {grantedTerm, position, termStarts} = this;
    const {voterSets, proposedVoterSets} = this;
    const answer = {granted, grantedTerm, position, termStarts};
    return {...answer, voterSets, proposedVoterSets};
  }

  /** Returns whether the promotion was accepted. */
  promote(term: number, voterSets: readonly VoterSet[]): boolean {
    if (this.grantedTerm !== term || this.term >= term) return false;
    this.role = 'primary';
    this.term = term;
    this.replicas.clear();
    this.enterTerm(term, voterSets);
    return true;
  }

  follow(
    term: number,
    primary: string,
    voterSets: readonly VoterSet[] | undefined,
  ): void {
    if (this.grantedTerm > term || primary === this.name) return;
    this.grantedTerm = term;
    this.term = term;
    this.role = 'replica';
    this.primary = primary;
    this.enterTerm(term, voterSets);
  }

  /** Appends a write; returns undefined if it is refused. */
  write(term: number, id: number): LogPosition | undefined {
    const isPrimary = this.role === 'primary' && this.term === term;
    if (!isPrimary || this.grantedTerm !== term) return undefined;
    this.log = [...this.log, {term, id}];
    return this.position;
  }

  /** Copies the primary's log, and drops a tail that the primary lacks. */
  replicate(term: number, log: readonly ModelEntry[]): LogPosition | undefined {
    if (this.grantedTerm !== term || this.term !== term) return undefined;
    if (this.role === 'primary') return undefined;
    const isPrefix =
      log.length <= this.log.length &&
      log.every((entry, index) => entry.id === this.log[index]?.id);
    const hasTail = this.position.term < term && this.log.length > log.length;
    if (!isPrefix || hasTail) this.log = log;
    return this.position;
  }

  private enterTerm(
    term: number,
    voterSets: readonly VoterSet[] = this.voterSets,
  ): void {
    this.voterSets = voterSets;
    this.proposedVoterSets = this.proposedVoterSets.filter(
      set => set.term > term,
    );
  }

  private get termStarts(): TermStart[] {
    const starts = new Map<number, number>();
    this.log.forEach(({term}, index) => {
      if (!starts.has(term)) starts.set(term, index);
    });
    return [...starts].map(([term, position]) => ({term, position}));
  }
}

function positionOf(log: readonly ModelEntry[]): LogPosition {
  return {term: log.at(-1)?.term ?? 0, position: log.length};
}
