import type {
  LogPosition,
  OutstandingOrder,
  PrimaryRecord,
} from '../../src/index.js';

/** How long a view of a primary is valid after its confirmation, in steps. */
export const VIEW_VALIDITY_STEPS = 4;

/** How long the entry of a started instance may be missing, in steps. */
export const REGISTRATION_STEPS = 5;

/** How long an order may take to have its effect, in steps. */
export const ORDER_LIMIT_STEPS = 25;

/** How long a coordinator waits for the result of its order, in steps. */
export const ORDER_RESULT_STEPS = 3;

/** How long a release may take to reach its instance, in steps. */
export const RELEASE_LIMIT_STEPS = 16;

/** How long the answer of a commit may take to reach its proxy, in steps. */
export const ANSWER_LIMIT_STEPS = 12;

/** How long a proxy waits for a proof that a commit was kept, in steps. */
export const HELD_ANSWER_STEPS = 30;

/** What a change of primary relies on. Each one can be switched off. */
export interface ChangeRules {
  /** The target is chosen from reports that were requested after the views ended. */
  readonly asksAfterViewsEnded: boolean;
  /** An instance that is silent after the views ended is waited for. */
  readonly awaitsSilentInstances: boolean;
  /** The list of instances is requested after the views ended. */
  readonly listsAfterViewsEnded: boolean;
  /** Instances that have started and are not registered yet are waited for. */
  readonly awaitsRegistrations: boolean;
  /**
   * An instance without an entry of its incarnation counts as not reported: the
   * list is requested a registration time after the last report.
   */
  readonly listsAfterReports: boolean;
  /** An instance that restarts during the survey has everyone report anew. */
  readonly asksAgainAfterRestarts: boolean;
  /**
   * Late entries are waited for from the end of the views, and each instance alone
   * from its own report; one that restarts after that counts by that report.
   */
  readonly settlesEachInstance: boolean;
  /** An instance is settled only by a list of a registration time after its report. */
  readonly settlesByLateLists: boolean;
  /**
   * A report counts as all that its listed start can have had only by a list of a
   * registration time after it, or if the next start is not held.
   */
  readonly attributesByLateLists: boolean;
  /** An instance with an empty log is asked once more after the list, and has to be held still. */
  readonly confirmsEmptyLogs: boolean;
  /** A log that has left that of the term shows nothing by its position. */
  readonly comparesInTerm: boolean;
  /** The report of an earlier incarnation counts only if it is settled. */
  readonly countsSettledRestarts: boolean;
  /** Views end only if no hold has ended since; instances say for which term they are held. */
  readonly checksHolds: boolean;
  /** The target is asked once more before it is ordered, and has to be as it reported. */
  readonly confirmsTarget: boolean;
  /** A view is verified only by connections that were open when the store confirmed it. */
  readonly verifiesByOldConnections: boolean;
  /** A leader of a higher term is adopted without the store only while the view is valid. */
  readonly adoptsInValidView: boolean;
  /**
   * A leader of a higher term is adopted without the store only if every instance
   * that the store named answers, and none knows of a higher term.
   */
  readonly adoptsIfAllAnswer: boolean;
  /** A commit is acknowledged only while the view of its primary is valid. */
  readonly acknowledgesInValidView: boolean;
  /** No other instance is ordered while the coordinator's own order may come. */
  readonly awaitsOwnOrders: boolean;
  /** The record that completes a change names the orders that may still come. */
  readonly keepsOrdersInSteadyRecord: boolean;
  /** A change counts the orders that the record of its primary names as orders of its own. */
  readonly countsKeptOrders: boolean;
  /** The holds that end the views are sent once no order may come any more. */
  readonly holdsAfterOrders: boolean;
  /** A target has reached what acknowledged commits have certainly reached, as far as proxies tell. */
  readonly demandsAcknowledged: boolean;
  /**
   * A hold of a leaving replica bounds what it confirmed only if no release of
   * another coordinator, or of an earlier term, can end it unseen.
   */
  readonly awaitsOtherReleases: boolean;
  /** The same for releases that the coordinator has sent itself in the term. */
  readonly awaitsOwnReleases: boolean;
}

/** The rules that keep every acknowledged commit. */
export const DESIGN_RULES: ChangeRules = {
  asksAfterViewsEnded: true,
  awaitsSilentInstances: true,
  listsAfterViewsEnded: true,
  awaitsRegistrations: true,
  listsAfterReports: true,
  asksAgainAfterRestarts: true,
  settlesEachInstance: false,
  settlesByLateLists: true,
  attributesByLateLists: true,
  confirmsEmptyLogs: true,
  comparesInTerm: true,
  countsSettledRestarts: true,
  checksHolds: true,
  confirmsTarget: true,
  verifiesByOldConnections: true,
  adoptsInValidView: false,
  adoptsIfAllAnswer: true,
  acknowledgesInValidView: true,
  awaitsOwnOrders: true,
  keepsOrdersInSteadyRecord: true,
  countsKeptOrders: true,
  holdsAfterOrders: true,
  demandsAcknowledged: true,
  awaitsOtherReleases: true,
  awaitsOwnReleases: true,
};

/** The rules of a change that does not wait anew for everyone when an instance restarts. */
export const SETTLING_RULES: ChangeRules = {
  ...DESIGN_RULES,
  asksAgainAfterRestarts: false,
  settlesEachInstance: true,
};

/** The record of the group, with every order that may still come. */
export interface StepRecord extends PrimaryRecord {
  /** Rises with each record. */
  readonly revision: number;
  /** Orders without a result; each token is the revision of the record that named it first. */
  readonly mayCome: readonly OutstandingOrder[];
}

/** The record in the store. */
export class RecordStore {
  private current: StepRecord = {
    term: 1,
    primary: 'i1',
    phase: 'steady',
    revision: 1,
    mayCome: [],
  };

  get record(): StepRecord {
    return this.current;
  }

  /**
   * Writes a record.
   *
   * @param record - The fields of the record.
   * @param mayCome - Returns the orders that it names, by its revision.
   */
  write(
    record: PrimaryRecord,
    mayCome: (revision: number) => readonly OutstandingOrder[],
  ): StepRecord {
    const revision = this.current.revision + 1;
    this.current = {...record, revision, mayCome: mayCome(revision)};
    return this.current;
  }
}

/** Draws from a fixed sequence of numbers (mulberry32). */
export class Dice {
  constructor(private state: number) {}

  /** Returns another sequence, and leaves this one as it is. */
  fork(): Dice {
    return new Dice(this.state ^ 0x5bd1e995);
  }

  /** Returns a number from 0 to 1. */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  }

  /** Returns a whole number from 0 to one less than a limit. */
  below(limit: number): number {
    return Math.floor(this.next() * limit);
  }

  /** Returns true with a probability. */
  chance(probability: number): boolean {
    return this.next() < probability;
  }

  /** Returns one of several items. */
  pick<Item>(items: readonly Item[]): Item | undefined {
    return items[this.below(items.length)];
  }
}

/** Returns a text that identifies a position. */
export function keyOf({term, position}: LogPosition): string {
  return `${term}.${position}`;
}
