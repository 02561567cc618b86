import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {DepartedInstances} from '../../src/index.js';
import {countLossy, HOLDS, playHistories} from './fault-histories.js';
import {GroupUnderFaults} from './group-under-faults.js';

/** A group whose coordinators remember the holds of replicas that they released. */
class GroupWithLastingHolds extends GroupUnderFaults {
  protected override forgetHold(): void {}
}

/** A group whose coordinators return with the holds that they knew before. */
class GroupWithReturningCoordinators extends GroupUnderFaults {
  protected override nextMemory(last: DepartedInstances): DepartedInstances {
    const next = this.idle ?? super.nextMemory(last);
    this.idle = last;
    return next;
  }
}

describe('chooseTarget in a group whose leaving replicas are held', () => {
  it('promotes no instance without an acknowledged commit that another one has or returns with', () => {
    const groups = playHistories(20_000, undefined, undefined, HOLDS);
    expect(countLossy(groups)).toEqual(0);
    expect(groups.some(({holds}) => holds > 10)).toEqual(true);
    expect(groups.some(({promotions}) => promotions > 2)).toEqual(true);
  });

  describe('if a held replica leaves after it confirmed a commit', () => {
    /** Releases the replica, because the only other one leaves too and receives nothing. */
    function play(
      Group: typeof GroupUnderFaults,
      {isOther}: {readonly isOther: boolean},
    ): GroupUnderFaults {
      const group = new Group();
      group.announceLeave(1);
      group.write();
      group.holdLeaving();
      group.toggleDeaf(2);
      if (isOther) group.changeCoordinator();
      group.announceLeave(2);
      group.holdLeaving();
      group.write();
      group.leave(1);
      if (isOther) group.changeCoordinator();
      group.changePrimary();
      return group;
    }

    for (const isOther of [false, true]) {
      const releasing = isOther ? 'another coordinator' : 'its coordinator';

      it(`keeps the commit if ${releasing} released the replica`, () => {
        const group = play(GroupUnderFaults, {isOther});
        expect(group.holds).toEqual(1);
        expect(group.promotions).toEqual(1);
        expect(group.lost).toEqual([]);
      });
    }

    it('loses the commit if its coordinator still remembers the hold', () => {
      const group = play(GroupWithLastingHolds, {isOther: false});
      expect(group.lost).toEqual(['1.2']);
    });

    it('loses the commit if a coordinator remembers the hold that another one ended', () => {
      const group = play(GroupWithReturningCoordinators, {isOther: true});
      expect(group.lost).toEqual(['1.2']);
    });
  });

  // Guards against holds that count although an order that took effect late ended them.
  it('reports what may be missing if held replicas led and confirmed by a late order, and left', () => {
    const group = new GroupUnderFaults();
    group.add();
    group.announceLeave(1);
    group.announceLeave(2);
    group.toggleDeaf(3);
    group.write();
    group.holdLeaving();
    group.changePrimary(false);
    group.toggleDeaf(0);
    group.promoteLate();
    group.write();
    group.leave(1);
    group.leave(1);
    group.changePrimary();
    expect(group.latePromotions).toEqual(1);
    expect(group.lost).toEqual([]);
    expect(group.unverified).toEqual(1);
  });
});
