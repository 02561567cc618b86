import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {MemoryGroup, MemoryInstance} from '../support/memory-group.js';
import {FIRST, TwoCoordinators} from '../support/two-coordinators.js';

/** Longer than a change of primary with views to revoke, in milliseconds. */
const CHANGE_MS = 4_000;

describe('a replica without an entry that still follows the primary', () => {
  let setup: TwoCoordinators;
  let group: MemoryGroup;
  let former: MemoryInstance;
  let next: MemoryInstance;
  let behind: MemoryInstance;
  let unlisted: MemoryInstance;

  beforeEach(async () => {
    setup = new TwoCoordinators();
    ({group} = setup);
    [former, next, behind, unlisted] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    await setup.acknowledgeWrite(former, 'before');
    group.partition(FIRST, unlisted.id);
    setup.removeEntry(setup.first, unlisted);
    const {context, view} = setup.first;
    await context.departures.boundDepartures(view);
  });

  afterEach(() => setup.close());

  it('keeps what it confirms after the coordinator, which does not reach it, has bounded its commits', async () => {
    group.partition(former.id, next.id);
    group.partition(former.id, behind.id);
    await setup.acknowledgeWrite(former, 'after the bound');
    former.isDown = true;
    await setup.replacePrimary(CHANGE_MS);
    expect(group.lost).toEqual([]);
  });

  describe('and whose entry had lapsed before the term began', () => {
    beforeEach(async () => {
      former.isDown = true;
      setup.removeEntry(setup.first, former);
      setup.removeEntry(setup.second, former);
      setup.second.context.directory.markMissing(unlisted.id);
      await setup.replacePrimary(CHANGE_MS);
    });

    async function confirmAloneAndEnd(): Promise<void> {
      const leader = group.find(setup.first.view.record!.record.primary)!;
      expect(leader.id).toEqual(next.id);
      group.partition(next.id, behind.id);
      await setup.acknowledgeWrite(next, 'confirmed by the unlisted one');
      next.isDown = true;
    }

    it('keeps what it confirms in the term, for the coordinator that recorded it', async () => {
      await confirmAloneAndEnd();
      await setup.replacePrimary(CHANGE_MS);
      expect(group.lost).toEqual([]);
    });

    it('keeps what it confirms in the term, for a later coordinator that noticed the lapse later', async () => {
      setup.follow(setup.second);
      await confirmAloneAndEnd();
      setup.removeEntry(setup.second, unlisted);
      await setup.replacePrimaryBySecond(CHANGE_MS);
      expect(group.lost).toEqual([]);
    });
  });
});
