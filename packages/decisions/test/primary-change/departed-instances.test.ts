import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  GroupInstance,
  PrimaryRecord,
  RecordedConfirmers,
} from '../../src/index.js';
import {DepartedInstances, PrimaryPhase} from '../../src/index.js';

const PRIMARY: GroupInstance = {id: 'i1', bornAtMs: 1};
const LEFT: GroupInstance = {id: 'i2', bornAtMs: 2};
const REMAINING: GroupInstance = {id: 'i3', bornAtMs: 3};
const ALL = [PRIMARY, LEFT, REMAINING];
const AFTER_DEPARTURE = {term: 1, position: 7};

function recordWith(confirmers?: RecordedConfirmers): PrimaryRecord {
  return {
    term: 1,
    primary: PRIMARY.id,
    phase: PrimaryPhase.Steady,
    confirmers,
  };
}

describe('DepartedInstances of a coordinator that has just begun', () => {
  let departed: DepartedInstances;

  beforeEach(() => {
    departed = new DepartedInstances();
  });

  it('counts an instance that the record lists and the directory lacks', () => {
    const record = recordWith({instances: [LEFT, REMAINING]});
    departed.update(record, [PRIMARY, REMAINING]);
    expect(departed.unbounded).toEqual([LEFT]);
    expect(departed.isRecordOutdated(record)).toEqual(false);
  });

  it('counts the start before of an instance that started again', () => {
    const restarted = {...LEFT, bornAtMs: 20};
    const record = recordWith({instances: [LEFT, REMAINING]});
    departed.update(record, [PRIMARY, restarted, REMAINING]);
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
    departed.update(record, [PRIMARY, REMAINING]);
    expect(departed.unbounded).toEqual([]);
    expect(departed.bound).toEqual(AFTER_DEPARTURE);
  });

  it('counts nobody while the directory is read after the record', () => {
    departed.update(recordWith({instances: [LEFT, REMAINING]}), []);
    departed.update(recordWith({instances: [LEFT, REMAINING]}), ALL);
    expect(departed.unbounded).toEqual([]);
  });

  it('accepts a record without a list, and asks for one', () => {
    departed.update(recordWith(), ALL);
    expect(departed.unbounded).toEqual([]);
    expect(departed.isRecordOutdated(recordWith())).toEqual(true);
  });
});

describe('DepartedInstances of a proxy that does not coordinate', () => {
  it('takes over that the coordinator has bounded a departure', () => {
    const departed = new DepartedInstances();
    departed.update(recordWith({instances: [LEFT, REMAINING]}), ALL);
    departed.update(recordWith({instances: [LEFT, REMAINING]}), [
      PRIMARY,
      REMAINING,
    ]);
    expect(departed.unbounded).toEqual([LEFT]);
    departed.update(
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
    const departed = new DepartedInstances();
    departed.update(recordWith({instances: [LEFT, REMAINING]}), ALL);
    const bounded = recordWith({
      instances: [REMAINING],
      departedPosition: AFTER_DEPARTURE,
    });
    departed.update(bounded, ALL);
    departed.update(bounded, [PRIMARY, REMAINING]);
    expect(departed.unbounded).toEqual([]);
    expect(departed.bound).toEqual(AFTER_DEPARTURE);
  });

  it('counts an instance again that was listed again', () => {
    const departed = new DepartedInstances();
    departed.update(recordWith({instances: [LEFT, REMAINING]}), ALL);
    const departedPosition = AFTER_DEPARTURE;
    departed.update(
      recordWith({instances: [REMAINING], departedPosition}),
      ALL,
    );
    const listed = recordWith({instances: [LEFT, REMAINING], departedPosition});
    departed.update(listed, ALL);
    departed.update(listed, [PRIMARY, REMAINING]);
    expect(departed.unbounded).toEqual([LEFT]);
  });

  it('keeps a departure that the coordinator never listed', () => {
    const departed = new DepartedInstances();
    departed.update(recordWith({instances: [REMAINING]}), ALL);
    departed.update(recordWith({instances: [REMAINING]}), [PRIMARY, REMAINING]);
    expect(departed.unbounded).toEqual([LEFT]);
  });
});
