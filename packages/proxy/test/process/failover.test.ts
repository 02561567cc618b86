import {after, afterEach, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Outcome} from '@sapphireglade/decisions';
import {expect} from 'earl';
import {FailoverFleet} from './failover-fleet.js';

/** A pause longer than every failover timer, in milliseconds. */
const PAUSE_MS = 4_000;

/** Observation time of a group without a majority, in milliseconds. */
const NO_MAJORITY_MS = 2_500;

/** A fault of the primary, with its injection and its end. */
interface PrimaryFaultCase {
  readonly name: string;
  readonly inject: (fleet: FailoverFleet, primary: string) => Promise<void>;
  readonly revert: (fleet: FailoverFleet, primary: string) => Promise<void>;
}

const COORDINATOR_STOPPED: PrimaryFaultCase = {
  name: 'is killed just as the first coordinator is stopped',
  inject: async (fleet, primary) => {
    fleet.fleet.process('lhr-depot-1').signal('SIGSTOP');
    await fleet.setDown(primary, true);
  },
  revert: async (fleet, primary) => {
    fleet.fleet.process('lhr-depot-1').signal('SIGCONT');
    await fleet.setDown(primary, false);
  },
};

const CASES: readonly PrimaryFaultCase[] = [
  {
    name: 'is killed and comes back with its log',
    inject: (fleet, primary) => fleet.setDown(primary, true),
    revert: (fleet, primary) => fleet.setDown(primary, false),
  },
  {
    name: 'is killed while the store is down',
    inject: async (fleet, primary) => {
      await fleet.fleet.storeControl.setFaults({down: true});
      await fleet.setDown(primary, true);
    },
    revert: async (fleet, primary) => {
      await fleet.setDown(primary, false);
      await fleet.fleet.storeControl.setFaults({});
    },
  },
  {
    name: 'is stopped for longer than every timer and goes on',
    inject: async (fleet, primary) => fleet.signal(primary, 'SIGSTOP'),
    revert: async (fleet, primary) => {
      await sleep(PAUSE_MS);
      fleet.signal(primary, 'SIGCONT');
    },
  },
  COORDINATOR_STOPPED,
];

const PARTITION_CASES: readonly PrimaryFaultCase[] = [
  {
    name: 'is cut off both ways',
    inject: (fleet, primary) => fleet.partition(primary, ['to', 'from']),
    revert: fleet => fleet.healPartitions(),
  },
  {
    name: 'receives, but its answers are lost',
    inject: (fleet, primary) => fleet.partition(primary, ['from']),
    revert: fleet => fleet.healPartitions(),
  },
  {
    name: 'sends, but receives nothing',
    inject: (fleet, primary) => fleet.partition(primary, ['to']),
    revert: fleet => fleet.healPartitions(),
  },
];

describe('change of primary between processes', () => {
  let fleet: FailoverFleet;

  useFleet(started => {
    fleet = started;
  });

  for (const {name, inject, revert} of CASES) {
    it(`acknowledges again when the primary ${name}`, () =>
      changePrimary(fleet, {name, inject, revert}));
  }

  it('refuses no booking when the primary says that it stops', async () => {
    const {instance, term} = await fleet.waitUntilSettled();
    const first = fleet.recorder.writes.length;
    await fleet.tune(instance, {stopping: true});
    await fleet.bookUntilTermPasses(term);
    await fleet.tune(instance, {stopping: false});
    const outcomes = fleet.recorder.writes
      .slice(first)
      .map(({outcome}) => outcome);
    expect([...new Set(outcomes)]).toEqual([Outcome.Done]);
  });

  it('promotes nobody without a majority that can be reached', async () => {
    const {instance, term} = await fleet.waitUntilSettled();
    const others = ['ledger-1', 'ledger-2', 'ledger-3'].filter(
      name => name !== instance,
    );
    const [ahead, behind] = [others[0]!, others[1]!];
    await fleet.tune(behind, {replicationLagMs: 600_000});
    for (let index = 0; index < 6; index += 1) await fleet.book(index);
    // The replica with the acknowledged bookings is unreachable as well.
    await fleet.setDown(ahead, true);
    await fleet.setDown(instance, true);
    await sleep(NO_MAJORITY_MS);
    const current = await fleet.primary();
    expect([current.instance, current.term]).toEqual([instance, term]);
    await fleet.setDown(ahead, false);
    await fleet.tune(behind, {replicationLagMs: 0});
    await fleet.bookUntilTermPasses(term);
    expect((await fleet.primary()).instance).toEqual(ahead);
    await fleet.setDown(instance, false);
  });

  it('drops the unconfirmed tail of an old primary and says so', async () => {
    const {instance, term} = await fleet.waitUntilSettled();
    const others = ['ledger-1', 'ledger-2', 'ledger-3'].filter(
      name => name !== instance,
    );
    for (const name of others) {
      await fleet.tune(name, {replicationLagMs: 600_000});
    }
    await sleep(PAUSE_MS / 4);
    const tail = Array.from({length: 3}, (_, index) => fleet.book(index));
    await sleep(PAUSE_MS / 16);
    await fleet.setDown(instance, true);
    for (const name of others) await fleet.tune(name, {replicationLagMs: 0});
    const outcomes = (await Promise.all(tail)).map(({outcome}) => outcome);
    expect(outcomes.includes(Outcome.Done)).toEqual(false);
    await fleet.bookUntilTermPasses(term);
    await fleet.setDown(instance, false);
    await fleet.waitUntilSettled();
    expect((await fleet.allSteps()).includes('tail-dropped')).toEqual(true);
  });

  it('tells each step on the time line', async () => {
    const steps = new Set(await fleet.allSteps());
    const expected = [
      'primary-missed',
      'primary-suspected',
      'term-asked',
      'term-granted',
      'primary-promoted',
      'view-published',
      'view-stored',
      'planned-change-began',
      'planned-change-ended',
      'writes-held',
    ] as const;
    expect(expected.filter(step => !steps.has(step))).toEqual([]);
  });
});

describe('change of primary after cuts', () => {
  let fleet: FailoverFleet;

  useFleet(started => {
    fleet = started;
  });

  for (const fault of PARTITION_CASES) {
    it(`acknowledges again when the primary ${fault.name}`, () =>
      changePrimary(fleet, fault));
  }

  it('acknowledges again after several cuts with one proxy stopped', () =>
    changePrimary(fleet, COORDINATOR_STOPPED));
});

/** Starts a fleet for the enclosing tests and checks its history after each. */
function useFleet(onStarted: (started: FailoverFleet) => void): void {
  let started: FailoverFleet;

  before(async () => {
    started = await FailoverFleet.start();
    await started.bookUntilTermPasses(0);
    onStarted(started);
  });

  after(() => started.fleet.stop());

  afterEach(() => started.verifyHistory());
}

/** Injects and reverts a fault of the primary, with bookings in flight. */
async function changePrimary(
  fleet: FailoverFleet,
  {inject, revert}: PrimaryFaultCase,
): Promise<void> {
  const {instance, term} = await fleet.waitUntilSettled();
  const inFlight = Array.from({length: 6}, (_, index) => fleet.book(index));
  await inject(fleet, instance);
  try {
    await fleet.bookUntilTermPasses(term);
  } finally {
    await revert(fleet, instance);
  }
  await Promise.all(inFlight);
  const next = await fleet.waitUntilSettled();
  expect(next.term > term).toEqual(true);
}
