import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  GroupInstance,
  PrimaryRecord,
  RecordedConfirmers,
  ReplicationReport,
} from '../../src/index.js';
import {DepartedInstances, PrimaryPhase} from '../../src/index.js';

const PRIMARY: GroupInstance = {id: 'i1', bornAtMs: 1};
const LEFT: GroupInstance = {id: 'i2', bornAtMs: 2};
const REMAINING: GroupInstance = {id: 'i3', bornAtMs: 3};
const ALL = [PRIMARY, LEFT, REMAINING];
const RETURN_WITHIN_MS = 1_000;
const AFTER_DEPARTURE = {term: 1, position: 7};

function recordWith(confirmers?: RecordedConfirmers): PrimaryRecord {
  return {
    term: 1,
    primary: PRIMARY.id,
    phase: PrimaryPhase.Steady,
    confirmers,
  };
}

/** What is known when the directory is read. */
interface Reading {
  readonly nowMs?: number;
  /** The instances that have announced that they leave. */
  readonly leaving?: readonly GroupInstance[];
}

function update(
  departed: DepartedInstances,
  record: PrimaryRecord,
  instances: readonly GroupInstance[],
  {nowMs = 0, leaving = []}: Reading = {},
): void {
  const present = instances.map(each => ({
    address: each.id,
    ...each,
    isLeaving: leaving.includes(each),
  }));
  departed.update(record, present, nowMs);
}

describe('DepartedInstances of a coordinator that has just begun', () => {
  let departed: DepartedInstances;

  beforeEach(() => {
    departed = new DepartedInstances(() => RETURN_WITHIN_MS);
  });

  it('counts an instance that the record lists and the directory lacks', () => {
    const record = recordWith({instances: [LEFT, REMAINING]});
    update(departed, record, [PRIMARY, REMAINING]);
    expect(departed.unbounded).toEqual([LEFT]);
    expect(departed.isRecordOutdated(record)).toEqual(false);
  });

  it('counts the start before of an instance that started again', () => {
    const restarted = {...LEFT, bornAtMs: 20};
    const record = recordWith({instances: [LEFT, REMAINING]});
    update(departed, record, [PRIMARY, restarted, REMAINING]);
    expect(departed.unbounded).toEqual([LEFT]);
    expect(departed.confirmersFor(record)?.instances).toEqual([
      LEFT,
      restarted,
      REMAINING,
    ]);
  });

  it('knows up to where instances confirmed that are no longer listed', () => {
    const record = recordWith({
      instances: [REMAINING],
      departedPosition: AFTER_DEPARTURE,
    });
    update(departed, record, [PRIMARY, REMAINING]);
    expect(departed.unbounded).toEqual([]);
    expect(departed.bound).toEqual(AFTER_DEPARTURE);
  });

  it('counts nobody while the directory is read after the record', () => {
    update(departed, recordWith({instances: [LEFT, REMAINING]}), []);
    update(departed, recordWith({instances: [LEFT, REMAINING]}), ALL);
    expect(departed.unbounded).toEqual([]);
  });

  it('accepts a record without a list, and asks for one', () => {
    update(departed, recordWith(), ALL);
    expect(departed.unbounded).toEqual([]);
    expect(departed.isRecordOutdated(recordWith())).toEqual(true);
  });
});

describe('DepartedInstances of a proxy that does not coordinate', () => {
  it('takes over that the coordinator has bounded a departure', () => {
    const departed = new DepartedInstances(() => RETURN_WITHIN_MS);
    update(departed, recordWith({instances: [LEFT, REMAINING]}), ALL);
    update(departed, recordWith({instances: [LEFT, REMAINING]}), [
      PRIMARY,
      REMAINING,
    ]);
    expect(departed.unbounded).toEqual([LEFT]);
    update(
      departed,
      recordWith({
        instances: [REMAINING],
        departedPosition: AFTER_DEPARTURE,
      }),
      [PRIMARY, REMAINING],
    );
    expect(departed.unbounded).toEqual([]);
    expect(departed.bound).toEqual(AFTER_DEPARTURE);
  });

  it('takes it over if its own directory drops the instance later', () => {
    const departed = new DepartedInstances(() => RETURN_WITHIN_MS);
    update(departed, recordWith({instances: [LEFT, REMAINING]}), ALL);
    const bounded = recordWith({
      instances: [REMAINING],
      departedPosition: AFTER_DEPARTURE,
    });
    update(departed, bounded, ALL);
    update(departed, bounded, [PRIMARY, REMAINING]);
    expect(departed.unbounded).toEqual([]);
    expect(departed.bound).toEqual(AFTER_DEPARTURE);
  });

  it('counts an instance again that was listed again', () => {
    const departed = new DepartedInstances(() => RETURN_WITHIN_MS);
    update(departed, recordWith({instances: [LEFT, REMAINING]}), ALL);
    const departedPosition = AFTER_DEPARTURE;
    update(
      departed,
      recordWith({instances: [REMAINING], departedPosition}),
      ALL,
    );
    const listed = recordWith({instances: [LEFT, REMAINING], departedPosition});
    update(departed, listed, ALL);
    update(departed, listed, [PRIMARY, REMAINING]);
    expect(departed.unbounded).toEqual([LEFT]);
  });

  it('keeps a departure that the coordinator never listed', () => {
    const departed = new DepartedInstances(() => RETURN_WITHIN_MS);
    update(departed, recordWith({instances: [REMAINING]}), ALL);
    update(departed, recordWith({instances: [REMAINING]}), [
      PRIMARY,
      REMAINING,
    ]);
    expect(departed.unbounded).toEqual([LEFT]);
  });
});

describe('DepartedInstances whose logs may come back', () => {
  const STEADY = recordWith({instances: [LEFT, REMAINING]});
  let departed: DepartedInstances;

  /** Returns the names of those that may return. */
  function mayReturn(nowMs = 0): string[] {
    return departed.mayReturn(nowMs).map(({id}) => id);
  }

  beforeEach(() => {
    departed = new DepartedInstances(() => RETURN_WITHIN_MS);
    update(departed, STEADY, ALL);
  });

  it('are those whose entries have lapsed, with the primary', () => {
    update(departed, STEADY, [REMAINING]);
    expect(departed.mayReturn(0)).toEqual([
      {...PRIMARY, isBounded: false},
      {...LEFT, isBounded: false},
    ]);
  });

  it('are none that announced that they leave', () => {
    update(departed, STEADY, ALL, {leaving: [PRIMARY, LEFT]});
    update(departed, STEADY, [REMAINING]);
    expect(mayReturn()).toEqual([]);
  });

  it('are none of which another incarnation was present', () => {
    const restarted = {...LEFT, bornAtMs: 20};
    update(departed, STEADY, [PRIMARY, REMAINING]);
    update(departed, STEADY, [PRIMARY, restarted, REMAINING]);
    expect(mayReturn()).toEqual([]);
    expect(departed.unbounded).toEqual([LEFT]);
  });

  // Fails if a change waits for an instance that is back by another name.
  it('are none whose address a later instance has', () => {
    const successor = {id: 'i4', bornAtMs: 20, address: LEFT.id};
    update(departed, STEADY, [PRIMARY, REMAINING, successor]);
    expect(mayReturn()).toEqual([]);
    expect(departed.unbounded).toEqual([LEFT]);
  });

  it('are those whose address only an earlier instance has', () => {
    const other = {id: 'i4', bornAtMs: 1, address: LEFT.id};
    update(departed, STEADY, [PRIMARY, REMAINING, other]);
    expect(mayReturn()).toEqual([LEFT.id]);
  });

  it('are counted from the last time that they went', () => {
    update(departed, STEADY, [PRIMARY, REMAINING], {nowMs: 0});
    update(departed, STEADY, ALL, {nowMs: 500});
    update(departed, STEADY, [PRIMARY, REMAINING], {nowMs: 600});
    expect(mayReturn(RETURN_WITHIN_MS)).toEqual([LEFT.id]);
    expect(mayReturn(600 + RETURN_WITHIN_MS)).toEqual([]);
  });

  it('are none any more once the time is shortened', () => {
    let returnWithinMs = RETURN_WITHIN_MS;
    departed = new DepartedInstances(() => returnWithinMs);
    update(departed, STEADY, ALL);
    update(departed, STEADY, [PRIMARY, REMAINING]);
    expect(mayReturn(1)).toEqual([LEFT.id]);
    returnWithinMs = 1;
    expect(mayReturn(1)).toEqual([]);
    expect(departed.unbounded).toEqual([LEFT]);
  });

  it('are named by the record once they are bounded, until they are not expected any more', () => {
    update(departed, STEADY, [PRIMARY, REMAINING]);
    departed.recordBound(departed.unbounded, AFTER_DEPARTURE);
    const confirmers = departed.confirmersFor(STEADY);
    expect(confirmers).toEqual({
      instances: [REMAINING],
      departedPosition: AFTER_DEPARTURE,
      absent: [LEFT],
    });

    const next = new DepartedInstances(() => RETURN_WITHIN_MS);
    const record = recordWith(confirmers);
    update(next, record, [PRIMARY, REMAINING]);
    expect(next.mayReturn(0)).toEqual([{...LEFT, isBounded: true}]);
    expect(next.isRecordOutdated(record)).toEqual(false);
    update(next, record, [PRIMARY, REMAINING], {nowMs: RETURN_WITHIN_MS});
    expect(next.isRecordOutdated(record)).toEqual(true);
    expect(next.confirmersFor(record)?.absent).toEqual(undefined);
  });

  it('are named by the record of the next term, with the primary before', () => {
    update(departed, STEADY, [REMAINING]);
    const next = departed.completeRecord({
      term: 2,
      primary: REMAINING.id,
      phase: PrimaryPhase.Steady,
      confirmers: {instances: []},
    });
    expect(next.confirmers?.absent).toEqual([PRIMARY, LEFT]);
  });

  it('are known to a coordinator that did not see how they went', () => {
    departed = new DepartedInstances(() => RETURN_WITHIN_MS);
    update(departed, STEADY, [REMAINING], {nowMs: 50});
    expect(mayReturn(49 + RETURN_WITHIN_MS)).toEqual([LEFT.id, PRIMARY.id]);
    expect(mayReturn(50 + RETURN_WITHIN_MS)).toEqual([]);
  });

  it('are none that the record says were leaving', () => {
    update(departed, STEADY, ALL, {leaving: [PRIMARY, LEFT]});
    expect(departed.isRecordOutdated(STEADY)).toEqual(true);
    const record = recordWith(departed.confirmersFor(STEADY));
    departed = new DepartedInstances(() => RETURN_WITHIN_MS);
    update(departed, record, [REMAINING]);
    expect(mayReturn()).toEqual([]);
    expect(departed.isRecordOutdated(record)).toEqual(false);
  });

  it('do not include the primary by its old name once it leads the term by another one', () => {
    update(departed, STEADY, [LEFT, REMAINING]);
    const report: ReplicationReport = {
      id: 'i9',
      isPrimary: true,
      term: STEADY.term,
      received: AFTER_DEPARTURE,
      heldTerm: 0,
    };
    departed.recordReport(STEADY, {...report, isPrimary: false});
    departed.recordReport(STEADY, {...report, term: 2});
    expect(mayReturn()).toEqual([PRIMARY.id]);
    departed.recordReport(STEADY, report);
    expect(mayReturn()).toEqual([]);
  });
});

describe('DepartedInstances of which one was held while it left', () => {
  const BEFORE_RESTART = {term: 1, position: 5};
  const HELD_AT_MS = 100;
  let departed: DepartedInstances;

  beforeEach(() => {
    departed = new DepartedInstances(() => RETURN_WITHIN_MS);
    update(departed, recordWith(), ALL, {leaving: [LEFT]});
    departed.holds.record(LEFT, BEFORE_RESTART, HELD_AT_MS);
    departed.holds.settle(ALL, timeMs => timeMs <= HELD_AT_MS);
  });

  // Guards against a bound by the log of the next start, whose entry is late.
  it('bound it by what it had before it restarted without its log', () => {
    departed.holds.record(LEFT, {term: 0, position: 0}, HELD_AT_MS + 1);
    update(departed, recordWith(), [{...LEFT, bornAtMs: 20}, REMAINING]);
    expect(departed.unbounded).toEqual([]);
    expect(departed.bound).toEqual(BEFORE_RESTART);
  });

  it('bound it by what it received after its hold had ended', () => {
    departed.holds.record(LEFT, AFTER_DEPARTURE, HELD_AT_MS + 1);
    update(departed, recordWith(), [PRIMARY, REMAINING]);
    expect(departed.bound).toEqual(AFTER_DEPARTURE);
  });

  // Guards against a bound by a hold that a late release may have ended.
  it('do not bound it by a hold that may have ended unseen', () => {
    departed.holds.forget(LEFT);
    departed.holds.record(LEFT, BEFORE_RESTART, undefined);
    departed.holds.settle(ALL, () => true);
    update(departed, recordWith(), [PRIMARY, REMAINING]);
    expect(departed.unbounded).toEqual([LEFT]);
    expect(departed.bound).toEqual(undefined);
  });

  // Guards against a bound by the hold of the next start, whose entry is late.
  it('do not bound it by a hold that no later list shows to be of its start', () => {
    departed.holds.forget(LEFT);
    departed.holds.record(LEFT, BEFORE_RESTART, HELD_AT_MS);
    departed.holds.settle(ALL, timeMs => timeMs < HELD_AT_MS);
    const next = {...LEFT, bornAtMs: 20};
    departed.holds.settle([PRIMARY, next, REMAINING], () => true);
    update(departed, recordWith(), [PRIMARY, next, REMAINING]);
    expect(departed.unbounded).toEqual([LEFT]);
    expect(departed.bound).toEqual(undefined);
  });

  it('bound it by the highest position once its hold is final', () => {
    departed.holds.record(LEFT, AFTER_DEPARTURE, undefined);
    departed.holds.record(LEFT, BEFORE_RESTART, HELD_AT_MS);
    departed.holds.settle(ALL, () => true);
    update(departed, recordWith(), [PRIMARY, REMAINING]);
    expect(departed.bound).toEqual(AFTER_DEPARTURE);
  });
});

describe('DepartedInstances of a term with a commit that is certainly acknowledged', () => {
  const LOWER = {term: 1, position: 6};
  const NEXT_TERM: PrimaryRecord = {...recordWith(), term: 2};
  let departed: DepartedInstances;

  beforeEach(() => {
    departed = new DepartedInstances(() => RETURN_WITHIN_MS);
    update(departed, recordWith(), ALL);
    departed.recordAcknowledged(AFTER_DEPARTURE);
  });

  it('demand its position, whatever is told later', () => {
    departed.recordAcknowledged(LOWER);
    expect(departed.unbounded).toEqual([]);
    expect(departed.bound).toEqual(AFTER_DEPARTURE);
  });

  it('bound nobody by it', () => {
    update(departed, recordWith(), [PRIMARY, REMAINING]);
    expect(departed.unbounded).toEqual([LEFT]);
  });

  it('tell it with the next record, which is not written for it alone', () => {
    const record = recordWith({instances: [LEFT, REMAINING]});
    update(departed, record, ALL);
    expect(departed.isRecordOutdated(record)).toEqual(false);
    const confirmers = departed.confirmersFor(record);
    expect(confirmers?.departedPosition).toEqual(AFTER_DEPARTURE);
    const next = new DepartedInstances(() => RETURN_WITHIN_MS);
    update(next, recordWith(confirmers), ALL);
    expect(next.bound).toEqual(AFTER_DEPARTURE);
  });

  it('do not demand it in a later term, whose start includes it', () => {
    update(departed, NEXT_TERM, ALL);
    departed.recordAcknowledged(AFTER_DEPARTURE);
    expect(departed.bound).toEqual(undefined);
  });

  it('demand one of a term that no record names yet', () => {
    const unrecorded = {term: 2, position: 3};
    departed.recordAcknowledged(unrecorded);
    expect(departed.bound).toEqual(unrecorded);
  });
});
