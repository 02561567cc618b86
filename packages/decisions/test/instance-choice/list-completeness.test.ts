import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {InstanceListView} from '../../src/index.js';
import {instanceListAge} from '../../src/index.js';

const LIST_AGE_MS = 800;
const BOUND = {term: 2, position: 7};

describe('instanceListAge', () => {
  const view: InstanceListView = {
    canRead: false,
    ageMs: LIST_AGE_MS,
    instances: [{id: 'replica', bornAtMs: 1}],
  };

  function ageWith(
    own: InstanceListView['acknowledged'],
    ...others: ReadonlyArray<InstanceListView['acknowledged']>
  ): number {
    return instanceListAge(
      {...view, acknowledged: own},
      others.map(acknowledged => ({...view, acknowledged})),
      BOUND,
    );
  }

  describe('while the store answers no owner', () => {
    const none = {position: undefined, isComplete: true};
    const included = {position: BOUND, isComplete: true};
    const past = {position: {term: 2, position: 8}, isComplete: true};
    const unknown = {position: BOUND, isComplete: false};

    for (const [name, acknowledged] of [
      ['acknowledged none', none],
      ['acknowledged no later commit', included],
      ['does not say', undefined],
    ] as const) {
      it(`is 0 if an owner ${name}`, () => {
        expect(ageWith(none, included, acknowledged)).toEqual(0);
      });
    }

    for (const [name, acknowledged] of [
      ['a commit that no listed instance has', past],
      ['a commit at an unknown position', unknown],
    ] as const) {
      it(`is that of the list if another owner acknowledged ${name}`, () => {
        expect(ageWith(none, included, acknowledged)).toEqual(LIST_AGE_MS);
      });

      it(`is that of the list if this proxy acknowledged ${name}`, () => {
        expect(ageWith(acknowledged, none)).toEqual(LIST_AGE_MS);
      });
    }
  });
});
