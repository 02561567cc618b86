import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {MemoryInstance} from '../support/memory-group.js';
import {TwoCoordinators} from '../support/two-coordinators.js';

/** Within which a dead primary must be replaced, in milliseconds. */
const CHANGE_MS = 8_000;

/** Second start of the former primary, in Unix milliseconds. */
const RESTARTED_AT_MS = 10;

describe('a coordinator that noticed later than the one before that an instance had gone', () => {
  let setup: TwoCoordinators;
  let former: MemoryInstance;

  beforeEach(() => {
    setup = new TwoCoordinators();
    [former] = setup.group.instances as [MemoryInstance];
  });

  afterEach(() => setup.close());

  /** Replaces the former primary; the first coordinator does not list it any more. */
  async function beginSecondTerm(): Promise<void> {
    const {first} = setup;
    await setup.acknowledgeWrite(former, 'before');
    former.isDown = true;
    setup.removeEntry(first, former);
    await setup.replacePrimary(CHANGE_MS);
    expect(first.view.record?.record.term).toEqual(2);
  }

  /** Lets the next primary end, and the second coordinator replace it. */
  async function replaceNext(): Promise<void> {
    const {first, second, group} = setup;
    setup.follow(second);
    group.find(first.view.record!.record.primary)!.isDown = true;
    setup.removeEntry(second, former);
    await setup.replacePrimaryBySecond(CHANGE_MS);
  }

  // Guards against a change that waits for the primary of the term before.
  it('replaces the next primary if that instance was missing', async () => {
    setup.second.context.directory.markMissing(former.id);
    await beginSecondTerm();
    await replaceNext();
    expect(setup.promotions.targets.length).toEqual(2);
  });

  it('replaces the next primary if that instance had started again during the change, and gone', async () => {
    for (const each of [setup.first, setup.second])
      setup.register(each, former, RESTARTED_AT_MS);
    setup.second.context.directory.markMissing(former.id);
    await beginSecondTerm();
    await replaceNext();
    expect(setup.promotions.targets.length).toEqual(2);
  });

  it('replaces the next primary if it read the list last before that instance had gone', async () => {
    await beginSecondTerm();
    await replaceNext();
    expect(setup.promotions.targets.length).toEqual(2);
  });
});
