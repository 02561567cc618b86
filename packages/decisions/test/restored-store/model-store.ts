import type {PrimaryRecord} from '../../src/index.js';

/** How far a restore sets the store back at most, in model time. */
const MAXIMUM_LOSS = 60;

/** A primary record as it lies in the store. */
export interface StoredRecord {
  readonly record: PrimaryRecord;
  /** Generation that its writer knew. */
  readonly generation: number;
  readonly revision: number;
}

/** A claim of the coordinator's role. */
export interface Claim {
  readonly holder: string;
  readonly key: string;
  readonly revision: number;
}

/** A conditional write of the record. */
export interface RecordWrite {
  readonly claim: Claim;
  /** Revision of the record that is replaced. */
  readonly replaces: number;
  readonly record: PrimaryRecord;
  readonly generation: number;
}

interface StoreState {
  readonly revision: number;
  readonly record: StoredRecord;
  readonly claims: readonly Claim[];
  readonly at: number;
}

/** A store that keeps one record and the coordinator's role, and can be restored from a backup. */
export class ModelStore {
  generation = 1;
  /** Writes of a coordinator after another one had claimed the role in the same generation. */
  readonly conflicts: string[] = [];
  restores = 0;
  /** All states that a backup may hold, the newest last. */
  private states: StoreState[];
  /** The latest coordinator of the generation. */
  private holder: string | undefined;
  private lastWriteAt = 0;

  constructor(record: PrimaryRecord) {
    const stored = {record, generation: 1, revision: 1};
    this.states = [{revision: 1, record: stored, claims: [], at: 0}];
  }

  get record(): StoredRecord {
    return this.state.record;
  }

  /** Replaces the content by a backup, and begins a generation. */
  restore(lostChanges: number, now: number): void {
    let kept = this.states.length;
    for (let lost = 0; lost < lostChanges && kept > 1; lost += 1) {
      if (now - this.states[kept - 1]!.at > MAXIMUM_LOSS) break;
      kept -= 1;
    }
    this.states = this.states.slice(0, kept);
    this.generation += 1;
    this.restores += 1;
    this.holder = undefined;
  }

  /** Takes the coordinator's role if nobody has it; claims under other keys end. */
  claim(holder: string, key: string, now: number): Claim | undefined {
    if (this.state.claims.some(claim => claim.key === key)) return undefined;
    const revision = this.state.revision + 1;
    const claim = {holder, key, revision};
    this.push({...this.state, revision, claims: [claim], at: now});
    this.holder = holder;
    this.lastWriteAt = now;
    return claim;
  }

  /** Ends the claims, unless a token that was written under them may be in use. */
  expireClaims(tokenValidity: number, now: number): void {
    if (now - this.lastWriteAt <= tokenValidity) return;
    const revision = this.state.revision + 1;
    this.push({...this.state, revision, claims: [], at: now});
  }

  /** Writes the record if the conditions hold; returns its revision if they do. */
  write(request: RecordWrite, now: number): number | undefined {
    const {claim, replaces, record, generation} = request;
    const isHeld = this.state.claims.some(
      ({key, revision}) => key === claim.key && revision === claim.revision,
    );
    if (!isHeld || this.state.record.revision !== replaces) return undefined;
    if (this.holder !== undefined && this.holder !== claim.holder) {
      this.conflicts.push(`${claim.holder} wrote while ${this.holder} led`);
    }
    const revision = this.state.revision + 1;
    const stored = {record, generation, revision};
    this.push({...this.state, revision, record: stored, at: now});
    this.lastWriteAt = now;
    return revision;
  }

  private get state(): StoreState {
    return this.states.at(-1)!;
  }

  private push(state: StoreState): void {
    this.states.push(state);
  }
}
