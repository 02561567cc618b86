import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {DatabaseGroup} from '../../src/index.js';
import type {ChangingGroup} from '../support/changing-group.js';
import {CoordinatedGroup, SELF} from '../support/coordinated-group.js';
import type {MemoryInstance} from '../support/memory-group.js';
import type {ViewHolder} from '../support/view-holder.js';

/** Time between two restarts of the replica, in milliseconds. */
const RESTART_INTERVAL_MS = 2_500;

/** Longer than a change of primary takes, in milliseconds. */
const CHANGE_TIMEOUT_MS = 20_000;

describe('a change of primary while an instance does not stay up', () => {
  let setup: CoordinatedGroup;
  let group: ChangingGroup;
  let view: DatabaseGroup;
  let holder: ViewHolder;
  let restarts: NodeJS.Timeout;
  let old: MemoryInstance;
  let restarting: MemoryInstance;

  beforeEach(async () => {
    setup = new CoordinatedGroup();
    ({group, view, old, first: restarting} = setup);
    holder = setup.addViewHolder();
    expect(await holder.write(old, 'before')).toEqual(true);
    group.partition(SELF, old.id);
    restarts = setInterval(() => restart(), RESTART_INTERVAL_MS);
  });

  afterEach(() => {
    clearInterval(restarts);
    holder.stop();
    setup.close();
  });

  function restart(): void {
    group.restartWithLog(restarting);
    setup.register(restarting);
  }

  it('ends although a proxy is cut off and a replica restarts again and again', async () => {
    const change = setup.replacePrimary();
    await Promise.race([
      change,
      sleep(CHANGE_TIMEOUT_MS, undefined, {ref: false}),
    ]);
    expect(view.storedRecord?.record.phase).toEqual(PrimaryPhase.Steady);
    expect(group.lost).toEqual([]);
  });
});
