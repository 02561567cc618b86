import fc from 'fast-check';
import type {InputFilter, RecordFilter} from './group-under-faults.js';
import {GroupUnderFaults} from './group-under-faults.js';

const INDEX = fc.nat({max: 5});

/** Events of a group; changes and writes are the most frequent. */
const FAULT_EVENT = fc.oneof(
  {weight: 6, arbitrary: fc.constant({kind: 'write'} as const)},
  {weight: 4, arbitrary: fc.constant({kind: 'change'} as const)},
  {
    weight: 3,
    arbitrary: fc.record({kind: fc.constant('deaf' as const), index: INDEX}),
  },
  {
    weight: 3,
    arbitrary: fc.record({kind: fc.constant('crash' as const), index: INDEX}),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('restart' as const),
      index: INDEX,
      keepsLog: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({kind: fc.constant('lose' as const), index: INDEX}),
  },
  {weight: 2, arbitrary: fc.constant({kind: 'add'} as const)},
  {weight: 3, arbitrary: fc.constant({kind: 'bound'} as const)},
  {weight: 3, arbitrary: fc.constant({kind: 'coordinator'} as const)},
);

/** Events of a group whose instances also announce that they leave, or lapse and return. */
const ABSENCE_EVENT = fc.oneof(
  {weight: 29, arbitrary: FAULT_EVENT},
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('announce' as const),
      index: INDEX,
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({kind: fc.constant('leave' as const), index: INDEX}),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('lapse' as const),
      index: INDEX,
      keepsLog: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({kind: fc.constant('return' as const), index: INDEX}),
  },
  {weight: 2, arbitrary: fc.constant({kind: 'cut'} as const)},
);

/** Events of a group in which the time also passes for absent instances to return. */
const ELAPSE_EVENT = fc.oneof(
  {weight: 43, arbitrary: ABSENCE_EVENT},
  {weight: 6, arbitrary: fc.constant({kind: 'elapse'} as const)},
);

/** Events of a group whose coordinators also do not see the results of their orders. */
const ORDER_EVENT = fc.oneof(
  {weight: 43, arbitrary: ABSENCE_EVENT},
  {weight: 5, arbitrary: fc.constant({kind: 'order'} as const)},
  {weight: 6, arbitrary: fc.constant({kind: 'promote'} as const)},
);

/** Events of a group whose coordinators hold the replicas that leave; most have to do with holds. */
const HOLD_EVENT = fc.oneof(
  {weight: 30, arbitrary: ORDER_EVENT},
  {weight: 12, arbitrary: fc.constant({kind: 'write'} as const)},
  {weight: 6, arbitrary: fc.constant({kind: 'add'} as const)},
  {
    weight: 8,
    arbitrary: fc.record({kind: fc.constant('deaf' as const), index: INDEX}),
  },
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant('announce' as const),
      index: INDEX,
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({kind: fc.constant('leave' as const), index: INDEX}),
  },
  {weight: 24, arbitrary: fc.constant({kind: 'hold'} as const)},
);

type EventOf<Source> = Source extends fc.Arbitrary<infer Event> ? Event : never;

type GroupEvent = EventOf<typeof HOLD_EVENT> | EventOf<typeof ELAPSE_EVENT>;

/** Histories of faults. */
const FAULTS = fc.array(FAULT_EVENT, {minLength: 5, maxLength: 40});

/** Histories in which instances also lapse, return and announce that they leave. */
export const ABSENCES = fc.array(ABSENCE_EVENT, {
  minLength: 5,
  maxLength: 50,
  size: 'max',
});

function apply(group: GroupUnderFaults, event: GroupEvent): void {
  switch (event.kind) {
    case 'write':
      return group.write();
    case 'change':
      return group.changePrimary();
    case 'order':
      return group.changePrimary(false);
    case 'promote':
      return group.promoteLate();
    case 'deaf':
      return group.toggleDeaf(event.index);
    case 'crash':
      return group.crash(event.index);
    case 'restart':
      return group.restart(event.index, event.keepsLog);
    case 'announce':
      return group.announceLeave(event.index);
    case 'leave':
      return group.leave(event.index);
    case 'lose':
      return group.lose(event.index);
    case 'lapse':
      return group.lapse(event.index, event.keepsLog);
    case 'return':
      return group.comeBack(event.index);
    case 'cut':
      return group.cutPrimary();
    case 'add':
      return group.add();
    case 'bound':
      return group.boundDepartures();
    case 'hold':
      return group.holdLeaving();
    case 'elapse':
      return group.elapse();
    case 'coordinator':
      return group.changeCoordinator();
  }
}

/** Histories in which coordinators also do not see the results of their orders. */
export const LATE_ORDERS = fc.array(ORDER_EVENT, {
  minLength: 5,
  maxLength: 50,
  size: 'max',
});

/** Histories in which instances also do not return any more. */
export const ELAPSED = fc.array(ELAPSE_EVENT, {
  minLength: 5,
  maxLength: 50,
  size: 'max',
});

/** Histories in which coordinators also hold the replicas that leave. */
export const HOLDS = fc.array(HOLD_EVENT, {
  minLength: 5,
  maxLength: 50,
  size: 'max',
});

/** Plays random histories; returns the groups in their last state. */
export function playHistories(
  runs: number,
  filter?: InputFilter,
  recordFilter?: RecordFilter,
  histories: fc.Arbitrary<GroupEvent[]> = FAULTS,
  Group = GroupUnderFaults,
): GroupUnderFaults[] {
  return fc.sample(histories, {seed: 26, numRuns: runs}).map(history => {
    const group = new Group(filter, recordFilter);
    for (const event of history) apply(group, event);
    return group;
  });
}

/** Returns how many groups lost acknowledged commits. */
export function countLossy(groups: readonly GroupUnderFaults[]): number {
  return groups.filter(({lost}) => lost.length > 0).length;
}

/** Returns the share of the promotions that were reported as unverified. */
export function unverifiedShare(groups: readonly GroupUnderFaults[]): number {
  const total = groups.reduce((sum, {promotions}) => sum + promotions, 0);
  const open = groups.reduce((sum, {unverified}) => sum + unverified, 0);
  return open / total;
}
