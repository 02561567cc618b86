import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ListedVm, MembershipEvent} from '../../src/index.js';
import {
  activeMembers,
  applyMembershipEvent,
  createMembership,
  FORGET_AFTER_MS,
  hasRunEnded,
  UNREACHABLE_AFTER_MS,
} from '../../src/index.js';

const SELF = {name: 'a', zone: 'z', region: 'r', address: '127.0.0.1'};
const OTHER = vm('b', '127.0.0.2');
const BOTH = listRead([vm('a', '127.0.0.1'), OTHER]);
const ALONE = listRead([vm('a', '127.0.0.1')]);
const HEARD = {type: 'peer-heard', name: 'b', boot: 'b1'} as const;
const HEARD_AGAIN = {type: 'peer-heard', name: 'b', boot: 'b2'} as const;
const FAILED = {type: 'peer-failed', name: 'b'} as const;
const STOPPING = {type: 'peer-stopping', name: 'b', boot: 'b1'} as const;

/** Time between two events, in milliseconds. */
const STEP_MS = 1;

describe('membership', () => {
  describe('decides whether a VM takes part', () => {
    const cases: {
      name: string;
      events: MembershipEvent[];
      /** Time between two events. */
      stepMs?: number;
      afterMs: number;
      isActive: boolean;
    }[] = [
      {
        name: 'listed, not yet contacted',
        events: [BOTH],
        afterMs: 0,
        isActive: true,
      },
      {
        name: 'with a first failure just now',
        events: [BOTH, HEARD, FAILED],
        afterMs: 0,
        isActive: true,
      },
      {
        name: 'that failed once, because this process was paused',
        events: [BOTH, HEARD, FAILED],
        afterMs: UNREACHABLE_AFTER_MS,
        isActive: true,
      },
      {
        name: 'failing repeatedly, for example paused or cut off',
        events: [BOTH, HEARD, FAILED, FAILED],
        stepMs: UNREACHABLE_AFTER_MS,
        afterMs: 0,
        isActive: false,
      },
      {
        name: 'contacted again after it failed',
        events: [BOTH, HEARD, FAILED, FAILED, HEARD],
        stepMs: UNREACHABLE_AFTER_MS,
        afterMs: UNREACHABLE_AFTER_MS,
        isActive: true,
      },
      {
        name: 'listed as leaving',
        events: [BOTH, HEARD, listRead([{...OTHER, state: 'leaving'}])],
        afterMs: 0,
        isActive: false,
      },
      {
        name: 'that reported it is stopping',
        events: [BOTH, HEARD, STOPPING],
        afterMs: 0,
        isActive: false,
      },
      {
        name: 'started again after its stop',
        events: [BOTH, HEARD, STOPPING, HEARD_AGAIN],
        afterMs: 0,
        isActive: true,
      },
      {
        name: 'absent from the list, but reachable',
        events: [BOTH, HEARD, ALONE],
        afterMs: 0,
        isActive: true,
      },
      {
        name: 'absent from the list and never contacted',
        events: [BOTH, ALONE],
        afterMs: 0,
        isActive: false,
      },
      {
        name: 'absent from the list, then listed again with the same address',
        events: [BOTH, HEARD, FAILED, FAILED, ALONE, BOTH],
        stepMs: UNREACHABLE_AFTER_MS,
        afterMs: UNREACHABLE_AFTER_MS,
        isActive: true,
      },
    ];
    for (const {name, events, stepMs, afterMs, isActive} of cases) {
      it(`${name}`, () => {
        const {state, nowMs} = run(events, stepMs);
        const names = activeMembers(state, nowMs + afterMs).map(
          record => record.name,
        );
        expect(names).toEqual(isActive ? ['a', 'b'] : ['a']);
      });
    }
  });

  describe('decides whether a run has ended', () => {
    const cases: {
      name: string;
      events: MembershipEvent[];
      /** Time between two events. */
      stepMs?: number;
      afterMs: number;
      hasEnded: boolean;
    }[] = [
      {name: 'before any list', events: [], afterMs: 0, hasEnded: false},
      {
        name: 'on a VM that fails, but is listed',
        events: [BOTH, HEARD, FAILED, FAILED],
        stepMs: UNREACHABLE_AFTER_MS,
        afterMs: FORGET_AFTER_MS,
        hasEnded: false,
      },
      {
        name: 'on a VM that left the list, but is reachable',
        events: [BOTH, HEARD, ALONE],
        afterMs: 0,
        hasEnded: false,
      },
      {
        name: 'on a VM that left the list and fails',
        events: [BOTH, HEARD, FAILED, ALONE],
        afterMs: UNREACHABLE_AFTER_MS,
        hasEnded: true,
      },
      {
        name: 'on a VM that started again',
        events: [BOTH, HEARD, HEARD_AGAIN],
        afterMs: 0,
        hasEnded: true,
      },
      {
        name: 'on a VM that may be too new for the list',
        events: [ALONE],
        afterMs: 0,
        hasEnded: false,
      },
      {
        name: 'on a VM that was never on the list for long',
        events: [ALONE],
        afterMs: FORGET_AFTER_MS,
        hasEnded: true,
      },
    ];
    for (const {name, events, stepMs, afterMs, hasEnded} of cases) {
      it(`${name}`, () => {
        const {state, nowMs} = run(events, stepMs);
        expect(hasRunEnded(state, 'b', 'b1', nowMs + afterMs)).toEqual(
          hasEnded,
        );
      });
    }
  });
});

function run(
  events: readonly MembershipEvent[],
  stepMs = STEP_MS,
): {
  state: ReturnType<typeof createMembership>;
  nowMs: number;
} {
  let nowMs = 0;
  let state = createMembership(SELF, 'a1', nowMs);
  for (const event of events) {
    nowMs += stepMs;
    state = applyMembershipEvent(state, event, nowMs);
  }
  return {state, nowMs};
}

function vm(name: string, address: string): ListedVm {
  return {name, zone: 'z', region: 'r', address, state: 'live'};
}

function listRead(vms: readonly ListedVm[]): MembershipEvent {
  return {type: 'list-read', vms};
}
