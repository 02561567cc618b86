import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  PrimaryChangeReason,
  PrimaryChange,
} from '../../src/core/coordinator/primary-change.js';
import {steadyNowMs} from '../../src/core/time/index.js';
import type {PrimaryChangeContext} from '../../src/index.js';
import {DatabaseGroup, primaryRecordKey} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import {createPrimaryChangeContext} from '../support/primary-change-context.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';

const GROUP = 'ledger';

/** Longer than a change of primary with views to revoke, in milliseconds. */
const CHANGE_MS = 4_000;

const SELF = 'proxy-1';

/** Records which instances led when the first promotion was ordered. */
class RecordingPromotions extends GroupPromotions {
  leaders: readonly string[] | undefined;

  protected override onOrdered(): void {
    this.leaders ??= this.group.instances
      .filter(({isPrimary, isDown}) => isPrimary && !isDown)
      .map(({id}) => id);
  }
}

describe('a change of primary while the primary returns by another name', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let view: DatabaseGroup;
  let promotions: RecordingPromotions;
  let context: PrimaryChangeContext;
  let primary: MemoryInstance;
  let returned: MemoryInstance;
  let isCoordinating: boolean;

  beforeEach(async () => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 4);
    primary = group.instances[0]!;
    returned = group.instances[3]!;
    view = new DatabaseGroup(GROUP);
    promotions = new RecordingPromotions(group);
    isCoordinating = true;
    context = createPrimaryChangeContext({
      self: SELF,
      state,
      group,
      promotions,
      view,
      isCoordinating: () => isCoordinating,
    });
    const record: PrimaryRecord = {
      term: 1,
      primary: primary.id,
      phase: PrimaryPhase.Steady,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
    await group.commit(primary, 'write');
    primary.isDown = true;
    returned.log = primary.log.slice();
    returned.isPrimary = true;
  });

  afterEach(() => {
    isCoordinating = false;
    context.control.closeAll();
    group.close();
    state.close();
  });

  it('steps it down before another instance is promoted', async () => {
    await new PrimaryChange(context, view, PrimaryChangeReason.Unusable).run();
    expect(promotions.leaders).toEqual([]);
    expect(promotions.targets.length).toEqual(1);
  });

  // Fails if the log of the old primary proves nothing because its name is another one.
  it('promotes it at once if a replica went silent and nobody else has its commits', async () => {
    const [, silent, behind] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    behind.log = [];
    for (const gone of [primary, silent]) {
      gone.isDown = true;
      context.directory.markMissing(gone.id);
      context.directory.removeMissing(steadyNowMs() + 60_000, false);
    }

    const change = new PrimaryChange(
      context,
      view,
      PrimaryChangeReason.Unusable,
    );
    await Promise.race([change.run().catch(() => undefined), sleep(CHANGE_MS)]);

    expect(promotions.targets).toEqual([returned.id]);
    expect(context.metrics.render().includes('step="unverified"')).toEqual(
      false,
    );
  });
});
