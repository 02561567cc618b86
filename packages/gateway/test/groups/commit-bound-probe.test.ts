import type {
  ClockReading,
  InstanceListView,
  PrimaryRecord,
} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {expect} from 'earl';
import {
  CommitBoundProbe,
  DatabaseGroup,
  InstanceDirectory,
  InstancePool,
  LatestConfiguration,
  readClocks,
  steadyNowMs,
} from '../../src/index.js';
import {MemoryConnector} from '../support/memory-connector.js';
import {MemoryGroup} from '../support/memory-group.js';
import {registeredInstance} from '../support/primary-change-context.js';

const GROUP = 'ledger';
const PROXY = 'proxy';

/** Age of the list of instances, in milliseconds. */
const LIST_AGE_MS = 800;

/** Age of data that a read allows; older than the list, in milliseconds. */
const ALLOWED_AGE_MS = 1_500;

/** Time for which a process has to know the group before it may probe, in milliseconds. */
const SETTLED_MS = 10_000;

/** Rounding of the two clocks, in milliseconds. */
const MARGIN_MS = 20;

/** Term for which an instance is held that receives nothing. */
const HELD_TERM = 9;

describe('reads while the primary cannot be queried', () => {
  const [primary, replica, newcomer] = [0, 1, 2].map(
    index => `${GROUP}-${index}`,
  ) as [string, string, string];
  let memoryGroup: MemoryGroup;
  let group: DatabaseGroup;
  let directory: InstanceDirectory;
  let probe: CommitBoundProbe;
  let isStoreReachable: boolean;
  /** What the other owners know of the instances; undefined for one that does not answer. */
  let views: ReadonlyArray<InstanceListView | undefined>;
  /** What the store answers when the directory is read. */
  let answerRead: () => void;

  /** Handles that an instance is listed. */
  function list(id: string): void {
    const log = createSilentLogger();
    const instance = registeredInstance(id, GROUP);
    const groups = new Map([[GROUP, memoryGroup]]);
    const connector = new MemoryConnector(PROXY, groups);
    const pool = new InstancePool(instance, connector, log);
    pool.setShare(1);
    group.addMember(instance, pool);
    directory.register(instance);
  }

  /** Acknowledges a commit that only the primary and the newcomer have. */
  async function commitWithNewcomer(): Promise<void> {
    memoryGroup.find(replica)!.heldTerm = HELD_TERM;
    await memoryGroup.commit(memoryGroup.find(primary)!, 'write-1');
    memoryGroup.partition(PROXY, primary);
  }

  /** Returns the position that a read needs which allows data of some age. */
  function positionFor(allowedAgeMs: number): number | undefined {
    return group.requiredPosition(steadyNowMs() - allowedAgeMs)?.position
      .position;
  }

  /** Creates a group that this process has known for long enough to probe it. */
  function createSettledGroup(): DatabaseGroup {
    const createdAtMs = steadyNowMs() - SETTLED_MS;
    const clock = mock.method(performance, 'now', () => createdAtMs);
    try {
      return new DatabaseGroup(GROUP);
    } finally {
      clock.mock.restore();
    }
  }

  beforeEach(() => {
    const log = createSilentLogger();
    memoryGroup = new MemoryGroup(GROUP, 3);
    group = createSettledGroup();
    directory = new InstanceDirectory(log);
    const configuration = new LatestConfiguration(log);
    configuration.applyIfNewer({
      version: 1,
      routes: new Map(),
      groups: new Map([
        [
          GROUP,
          {name: GROUP, connectionLimit: 60, hasSynchronousReplication: true},
        ],
      ]),
      transactionIdleTimeoutMs: 3_000,
    });
    isStoreReachable = true;
    views = [];
    answerRead = () => undefined;
    probe = new CommitBoundProbe({
      configuration,
      directory,
      isStoreReachable: () => isStoreReachable,
      requestInstanceLists: () => Promise.resolve(views),
      refreshDirectory: () => answerRead(),
      log,
    });
    const record = {term: 1, primary, phase: PrimaryPhase.Steady};
    group.applyRecord({record, revision: 1});
    for (const id of [primary, replica]) list(id);
    directory.confirm(before(LIST_AGE_MS));
  });

  afterEach(() => {
    for (const {pool} of group.members.values()) pool.close('the test is over');
    memoryGroup.close();
  });

  describe('after an instance joined that this proxy does not know', () => {
    it('give no position for the time since the instances were listed', async () => {
      await commitWithNewcomer();
      await probe.refresh(group);
      expect(positionFor(0)).toEqual(undefined);
      expect(positionFor(LIST_AGE_MS - MARGIN_MS)).toEqual(undefined);
    });

    it('go on if they allow data from before the instances were listed', async () => {
      await commitWithNewcomer();
      await probe.refresh(group);
      expect(positionFor(ALLOWED_AGE_MS)).toEqual(0);
    });

    it('give no position if a newer list names an instance that was not queried', async () => {
      await commitWithNewcomer();
      answerRead = () => {
        list(newcomer);
        directory.confirm(readClocks());
      };
      await probe.refresh(group);
      expect(positionFor(ALLOWED_AGE_MS)).toEqual(undefined);
    });

    it('give no position for the time since a proxy was cut off from the store', async () => {
      await commitWithNewcomer();
      isStoreReachable = false;
      await probe.refresh(group);
      expect(positionFor(LIST_AGE_MS - MARGIN_MS)).toEqual(undefined);
    });
  });

  describe('while the store does not answer this proxy', () => {
    const listed = [primary, replica].map(id => ({id, bornAtMs: 1}));
    const joined = {id: newcomer, bornAtMs: 1};

    async function probeWithViews(
      ...others: ReadonlyArray<InstanceListView | undefined>
    ): Promise<number | undefined> {
      views = others;
      isStoreReachable = false;
      await commitWithNewcomer();
      await probe.refresh(group);
      return positionFor(LIST_AGE_MS - MARGIN_MS);
    }

    it('go on if it answers no owner of the group', async () => {
      const view = {canRead: false, ageMs: LIST_AGE_MS, instances: listed};
      expect(await probeWithViews(view, view)).toEqual(0);
    });

    it('go on if an owner has a newer list without a further instance', async () => {
      const view = {canRead: true, ageMs: 0, instances: listed};
      expect(await probeWithViews(view)).toEqual(0);
    });

    const ageMs = LIST_AGE_MS;
    const cases: ReadonlyArray<
      [name: string, view: InstanceListView | undefined]
    > = [
      ['can read the list', {canRead: true, ageMs, instances: listed}],
      [
        'knows a further one',
        {canRead: false, ageMs: 0, instances: [...listed, joined]},
      ],
      ['does not answer', undefined],
    ];
    for (const [name, view] of cases) {
      it(`give no position for the time since the instances were listed if an owner ${name}`, async () => {
        const other = {canRead: false, ageMs, instances: listed};
        expect(await probeWithViews(other, view)).toEqual(undefined);
      });
    }
  });

  describe('after an instance left before this proxy knew the group', () => {
    const left = {id: newcomer, bornAtMs: 1};
    const staying = {id: replica, bornAtMs: 1};

    /** Queries the replica that stays, under a record of the same term. */
    async function probeWith(
      fields: Pick<PrimaryRecord, 'confirmers' | 'initialPosition'>,
    ): Promise<void> {
      const record = {term: 1, primary, phase: PrimaryPhase.Steady, ...fields};
      group.applyRecord({record, revision: 2});
      await commitWithNewcomer();
      await probe.refresh(group);
    }

    it('give no position while the record names it', async () => {
      await probeWith({confirmers: {instances: [staying, left]}});
      expect(positionFor(ALLOWED_AGE_MS)).toEqual(undefined);
    });

    it('give no position if the others lack what it confirmed', async () => {
      const departedPosition = {term: 1, position: 1};
      await probeWith({confirmers: {instances: [staying], departedPosition}});
      expect(positionFor(ALLOWED_AGE_MS)).toEqual(undefined);
    });

    it('give no position if the others lack commits of earlier terms', async () => {
      await probeWith({initialPosition: {term: 1, position: 1}});
      expect(positionFor(ALLOWED_AGE_MS)).toEqual(undefined);
    });

    it('go on if the others have what it confirmed', async () => {
      const departedPosition = {term: 1, position: 0};
      await probeWith({confirmers: {instances: [staying], departedPosition}});
      expect(positionFor(ALLOWED_AGE_MS)).toEqual(0);
    });
  });

  it('give the position of now if the list is as new as the query', async () => {
    const askedAtMs = steadyNowMs();
    answerRead = () => directory.confirm(readClocks());
    await memoryGroup.commit(memoryGroup.find(primary)!, 'write-1');
    memoryGroup.partition(PROXY, primary);
    await probe.refresh(group);
    expect(group.requiredPosition(askedAtMs)?.position.position).toEqual(1);
  });
});

/** Returns the reading of both clocks a number of milliseconds ago. */
function before(milliseconds: number): ClockReading {
  const {steadyMs, wallMs} = readClocks();
  return {steadyMs: steadyMs - milliseconds, wallMs: wallMs - milliseconds};
}
