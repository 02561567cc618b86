import {PrimaryPhase} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {DatabaseGroup} from '../../src/index.js';
import {REGISTRATION_MS, steadyNowMs} from '../../src/index.js';
import type {ChangingGroup} from '../support/changing-group.js';
import {CoordinatedGroup, SELF} from '../support/coordinated-group.js';
import type {MemoryInstance} from '../support/memory-group.js';
import type {ViewHolder} from '../support/view-holder.js';

/** Long enough to choose a target once all replicas are held, and shorter than views last, in milliseconds. */
const CHOICE_MS = 600;

const OUT_OF_USE = 'The old primary is out of use everywhere.';
const CHANGED = 'The instances changed while they were held.';
const ORDERED = 'A promotion is being ordered.';

describe('a change of primary that waits for late entries', () => {
  let setup: CoordinatedGroup;
  let group: ChangingGroup;
  let view: DatabaseGroup;
  let holder: ViewHolder;
  let steps: string[];
  let newestListMs: number;
  let onWait: () => void;
  let old: MemoryInstance;
  let first: MemoryInstance;
  let second: MemoryInstance;

  beforeEach(async () => {
    steps = [];
    newestListMs = 0;
    onWait = () => undefined;
    setup = new CoordinatedGroup({
      isDirectoryCurrent: sinceMs => {
        const once = onWait;
        onWait = () => undefined;
        once();
        const isCurrent = steadyNowMs() >= sinceMs;
        if (isCurrent) newestListMs = Math.max(newestListMs, sinceMs);
        return isCurrent;
      },
      log: {
        ...createSilentLogger(),
        info: message => {
          if ([OUT_OF_USE, CHANGED, ORDERED].includes(message))
            steps.push(message);
        },
      },
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

  /** Restarts a replica with its log, and registers it as it is then. */
  function restart(instance: MemoryInstance): void {
    group.restartWithLog(instance);
    setup.register(instance);
  }

  function expectNothingLost(): void {
    expect(group.lost).toEqual([]);
    const recorded = view.storedRecord?.record;
    expect(recorded?.phase).toEqual(PrimaryPhase.Steady);
    expect(group.missingAt(group.find(recorded?.primary ?? ''))).toEqual([]);
  }

  // Guards against a change that waits anew when the old primary answers for the first time.
  it('goes on when the old primary answers for the first time', async () => {
    onWait = () => group.reconnect(SELF, old.id);
    await setup.replacePrimary();
    expect(old.isPrimary).toEqual(false);
    expect(steps).toEqual([OUT_OF_USE, ORDERED]);
    expectNothingLost();
  });

  it('goes on when the old primary has more than anyone confirmed', async () => {
    onWait = () => {
      const {position} = old.position;
      old.log.push({
        position: {term: 1, position: position + 1},
        requestId: 'unconfirmed',
        changes: [],
      });
      group.reconnect(SELF, old.id);
    };
    await setup.replacePrimary();
    expect(old.isPrimary).toEqual(false);
    expect(steps).toEqual([OUT_OF_USE, ORDERED]);
    expectNothingLost();
  });

  it('waits anew when a replica has restarted before the views ended', async () => {
    const change = setup.replacePrimary();
    while (first.heldTerm === 0 || second.heldTerm === 0) await sleep(1);
    await sleep(CHOICE_MS);
    restart(second);
    expect(await holder.write(old, 'confirmed')).toEqual(true);
    group.reconnect(SELF, old.id);
    await change;
    expect(steps).toEqual([OUT_OF_USE, CHANGED, OUT_OF_USE, ORDERED]);
    expectNothingLost();
  });

  it('waits for the entry of a replica that restarts meanwhile, from its report on', async () => {
    let restartedAtMs = Infinity;
    onWait = () => {
      restartedAtMs = steadyNowMs();
      restart(second);
    };
    await setup.replacePrimary();
    expect(newestListMs >= restartedAtMs + REGISTRATION_MS).toEqual(true);
    expectNothingLost();
  });
});
