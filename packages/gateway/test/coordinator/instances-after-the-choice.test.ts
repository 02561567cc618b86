import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {DatabaseGroup} from '../../src/index.js';
import {steadyNowMs} from '../../src/index.js';
import type {ChangingGroup} from '../support/changing-group.js';
import {CoordinatedGroup, SELF} from '../support/coordinated-group.js';
import {GroupPromotions} from '../support/group-promotions.js';
import type {MemoryInstance} from '../support/memory-group.js';
import type {ViewHolder} from '../support/view-holder.js';

/**
 * Long enough to give the old primary up and to choose a target once all
 * replicas are held, and shorter than views last, in milliseconds.
 */
const CHOICE_MS = 600;

/** Time after the views have expired until an entry is registered, in milliseconds. */
const REGISTRATION_MS = 500;

/** Time for which an instance stays cut off after it was registered, in milliseconds. */
const CUT_MS = 500;

/** Longer than the wait for late entries, in milliseconds. */
const LIST_MS = 3_500;

/** Longer than a change of primary takes, in milliseconds. */
const CHANGE_TIMEOUT_MS = 20_000;

describe('a change of primary while a proxy still uses the old one', () => {
  let setup: CoordinatedGroup;
  let group: ChangingGroup;
  let view: DatabaseGroup;
  let holder: ViewHolder;
  let isListRead: (sinceMs: number) => boolean;
  let promotions: GroupPromotions;
  let old: MemoryInstance;
  let first: MemoryInstance;
  let second: MemoryInstance;

  beforeEach(async () => {
    isListRead = sinceMs => steadyNowMs() >= sinceMs;
    setup = new CoordinatedGroup({
      createPromotions: changing =>
        (promotions = new GroupPromotions(changing)),
      isDirectoryCurrent: sinceMs => isListRead(sinceMs),
    });
    ({group, view, old, first, second} = setup);
    holder = setup.addViewHolder();
    expect(await holder.write(old, 'before')).toEqual(true);
    group.partition(SELF, old.id);
  });

  afterEach(() => {
    holder.stop();
    setup.close();
  });

  /** Replaces the primary. */
  function run(): Promise<void> {
    const change = setup.replacePrimary();
    const limit = sleep(CHANGE_TIMEOUT_MS, undefined, {ref: false});
    return Promise.race([
      change,
      limit.then(() => {
        throw new Error('The change of primary did not end.');
      }),
    ]);
  }

  /** Waits until both replicas are held and a target is chosen from them. */
  async function untilChosen(): Promise<void> {
    while (first.heldTerm === 0 || second.heldTerm === 0) await sleep(1);
    await sleep(CHOICE_MS);
  }

  /** Waits until an entry is registered that is late. */
  async function untilRegistration(): Promise<void> {
    while (holder.isViewValid) await sleep(5);
    await sleep(REGISTRATION_MS);
  }

  /** Checks that the recorded primary leads and has every acknowledged commit. */
  function expectNothingLost(): void {
    expect(group.lost).toEqual([]);
    const recorded = view.storedRecord?.record;
    expect(recorded?.phase).toEqual(PrimaryPhase.Steady);
    const leader = group.find(recorded?.primary ?? '');
    expect(leader?.isPrimary).toEqual(true);
    expect(group.missingAt(leader)).toEqual([]);
  }

  describe('and a replica joins', () => {
    it('keeps what the new replica confirms if it registers before the choice', async () => {
      group.partition(SELF, second.id);
      const change = run();
      while (first.heldTerm === 0) await sleep(1);
      const joined = group.join();
      setup.register(joined);
      expect(await holder.write(old, 'confirmed')).toEqual(true);
      group.reconnect(SELF, second.id);
      await change;
      expectNothingLost();
    });

    it('keeps what the new replica confirms if it registers after the choice', async () => {
      const change = run();
      await untilChosen();
      setup.register(group.join());
      expect(await holder.write(old, 'confirmed')).toEqual(true);
      await change;
      expectNothingLost();
    });

    it('keeps what the new replica confirms if it registers after the views have expired', async () => {
      const change = run();
      await untilChosen();
      const joined = group.join();
      expect(await holder.write(old, 'confirmed')).toEqual(true);
      await untilRegistration();
      setup.register(joined);
      await change;
      expectNothingLost();
    });
  });

  // Guards against an order to an instance that may have lost its log since it reported.
  it('orders no instance that is silent when the list was read again', async () => {
    let isCut = false;
    isListRead = sinceMs => {
      const target = first.id < second.id ? first : second;
      if (!isCut) group.partition(SELF, target.id);
      isCut = true;
      return steadyNowMs() >= sinceMs;
    };
    const change = run();
    while (!isCut || holder.isViewValid) await sleep(5);
    await sleep(LIST_MS + CUT_MS);
    expect(promotions.targets).toEqual([]);
    group.reconnect(SELF, first.id);
    group.reconnect(SELF, second.id);
    await change;
    expectNothingLost();
  });

  describe('and a held replica restarts with its log', () => {
    it('keeps what the restarted replica confirms while the coordinator cannot reach it', async () => {
      const change = run();
      await untilChosen();
      group.partition(SELF, second.id);
      group.restartWithLog(second);
      expect(await holder.write(old, 'confirmed')).toEqual(true);
      await untilRegistration();
      setup.register(second);
      await sleep(CUT_MS);
      group.reconnect(SELF, second.id);
      await change;
      expectNothingLost();
    });

    it('keeps what the restarted replica confirms at an address that registers late', async () => {
      const change = run();
      await untilChosen();
      // Nothing answers at the former address.
      group.partition(SELF, second.id);
      group.restartWithLog(second);
      expect(await holder.write(old, 'confirmed')).toEqual(true);
      await untilRegistration();
      setup.register(second);
      group.reconnect(SELF, second.id);
      await change;
      expectNothingLost();
    });
  });
});
