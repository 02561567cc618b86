import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {
  PromotionCandidate,
  ReplicationReport,
  TargetChoice,
  TargetInputs,
} from '../../src/index.js';
import {chooseTarget, restsOnList} from '../../src/index.js';

/** Actual contents of the logs of one group. */
interface ActualLogs {
  /** Entries on the old primary. */
  readonly primary: number;
  /** Entries on each replica, and whether it is reachable. */
  readonly replicas: ReadonlyArray<{
    readonly entries: number;
    readonly isReachable: boolean;
    readonly isLeaving: boolean;
  }>;
  readonly isPrimaryReachable: boolean;
}

const LOGS = fc.record({
  primary: fc.integer({min: 0, max: 6}),
  replicas: fc.array(
    fc.record({
      entries: fc.integer({min: 0, max: 6}),
      isReachable: fc.boolean(),
      isLeaving: fc.boolean(),
    }),
    {minLength: 1, maxLength: 4},
  ),
  isPrimaryReachable: fc.boolean(),
});

/** Inputs of a group in which no instance has left or lost its log. */
const NOTHING_LOST = {
  mayOldPrimaryReport: true,
  hasSynchronousReplication: true,
  wasPromotionOrdered: false,
  minimumPosition: undefined,
  unverifiedDepartures: [],
  mayReturn: [],
} as const;

function candidate(id: string, position?: number): PromotionCandidate {
  return {
    id,
    isLeaving: false,
    report: position === undefined ? undefined : report(id, position),
  };
}

function report(id: string, position: number): ReplicationReport {
  return {
    id,
    isPrimary: false,
    term: 1,
    heldTerm: 2,
    received: {term: 1, position},
  };
}

/** Returns what the coordinator observes of the actual logs. */
function observableInputs(logs: ActualLogs): TargetInputs {
  const replicas: PromotionCandidate[] = logs.replicas.map(
    ({entries, isReachable, isLeaving}, index) => ({
      id: `r${index}`,
      isLeaving,
      report: isReachable
        ? report(`r${index}`, Math.min(entries, logs.primary))
        : undefined,
    }),
  );
  return {
    ...NOTHING_LOST,
    replicas,
    oldPrimary: {
      id: 'p',
      isLeaving: false,
      report: logs.isPrimaryReachable ? report('p', logs.primary) : undefined,
    },
  };
}

/** Newest entry that may have been acknowledged: it is on a replica too. */
function acknowledged(logs: ActualLogs): number {
  const onReplicas = logs.replicas.map(({entries}) =>
    Math.min(entries, logs.primary),
  );
  return Math.max(...onReplicas);
}

/** Promotes the most advanced reachable replica and ignores all others. */
function chooseNaively(inputs: TargetInputs): TargetChoice {
  return chooseTarget({
    ...inputs,
    replicas: inputs.replicas.filter(each => each.report !== undefined),
  });
}

/** Whether a choice loses an entry that may have been acknowledged. */
function losesAcknowledgedEntry(
  logs: ActualLogs,
  choice: TargetChoice,
): boolean {
  if (choice.kind === 'wait' || choice.target === 'p') return false;
  const index = Number(choice.target.slice(1));
  const entries = Math.min(logs.replicas[index]?.entries ?? 0, logs.primary);
  return entries < acknowledged(logs);
}

describe('chooseTarget', () => {
  it('loses no acknowledged entry, against an observer of all logs', () => {
    fc.assert(
      fc.property(LOGS, logs => {
        expect(
          losesAcknowledgedEntry(logs, chooseTarget(observableInputs(logs))),
        ).toEqual(false);
      }),
      {seed: 7, numRuns: 20_000},
    );
  });

  it('differs from a choice that ignores unreachable replicas', () => {
    const losses = fc
      .sample(LOGS, {seed: 7, numRuns: 5_000})
      .filter(logs =>
        losesAcknowledgedEntry(logs, chooseNaively(observableInputs(logs))),
      );
    expect(losses.length > 0).toEqual(true);
  });

  it('always promotes when every replica has reported', () => {
    fc.assert(
      fc.property(LOGS, logs => {
        const replicas = logs.replicas.map(each => ({
          ...each,
          isReachable: true,
        }));
        const choice = chooseTarget(observableInputs({...logs, replicas}));
        expect(choice.kind).toEqual('promote');
      }),
      {seed: 8, numRuns: 1_000},
    );
  });

  describe('once a promotion was ordered', () => {
    it('waits while any instance is unreachable, whatever the old primary reported', () => {
      const choice = chooseTarget({
        ...NOTHING_LOST,
        oldPrimary: candidate('p', 3),
        wasPromotionOrdered: true,
        replicas: [candidate('a'), candidate('b', 3), candidate('p', 3)],
      });
      expect(choice.kind).toEqual('wait');
    });

    it('promotes the highest once all have reported, including the old primary', () => {
      const choice = chooseTarget({
        ...NOTHING_LOST,
        oldPrimary: candidate('p'),
        wasPromotionOrdered: true,
        replicas: [candidate('b', 3), candidate('p', 4)],
      });
      expect(choice).toEqual({
        kind: 'promote',
        target: 'p',
        position: {term: 1, position: 4},
      });
    });
  });

  it('prefers an active instance to an equal one that is leaving', () => {
    const choice = chooseTarget({
      ...NOTHING_LOST,
      oldPrimary: undefined,
      replicas: [{...candidate('a', 3), isLeaving: true}, candidate('b', 3)],
    });
    expect(choice).toEqual({
      kind: 'promote',
      target: 'b',
      position: {term: 1, position: 3},
    });
  });

  describe('when a replica that may have confirmed commits is gone', () => {
    const left = {...NOTHING_LOST, unverifiedDepartures: ['gone']};

    it('waits for the old primary while it may still report', () => {
      const choice = chooseTarget({
        ...left,
        oldPrimary: candidate('p'),
        replicas: [candidate('a', 3)],
      });
      expect(choice.kind).toEqual('wait');
    });

    it('promotes the old primary if only it has every entry', () => {
      const choice = chooseTarget({
        ...left,
        oldPrimary: candidate('p', 4),
        replicas: [candidate('a', 3)],
      });
      expect(choice).toEqual({
        kind: 'promote',
        target: 'p',
        position: {term: 1, position: 4},
      });
    });

    it('says what is unverified once the old primary is gone as well', () => {
      const choice = chooseTarget({
        ...left,
        mayOldPrimaryReport: false,
        oldPrimary: undefined,
        replicas: [candidate('a', 3)],
      });
      expect(choice).toEqual({
        kind: 'promote',
        target: 'a',
        position: {term: 1, position: 3},
        unverified: 'instances left with their logs: gone',
      });
    });
  });

  describe('when an instance that is absent may return with its log', () => {
    const absent = {id: 'gone', bornAtMs: 1, isBounded: false};
    const unproved = {
      ...NOTHING_LOST,
      mayOldPrimaryReport: false,
      oldPrimary: undefined,
      unverifiedDepartures: ['gone'],
      replicas: [candidate('a', 3)],
    };

    it('waits for it if nothing else proves that the best one is complete', () => {
      expect(chooseTarget({...unproved, mayReturn: [absent]})).toEqual({
        kind: 'wait',
        reason:
          'a commit may exist only on an absent instance that may return: gone',
      });
    });

    it('waits for it as well after a promotion order', () => {
      const choice = chooseTarget({
        ...unproved,
        wasPromotionOrdered: true,
        mayReturn: [absent],
      });
      expect(choice.kind).toEqual('wait');
    });

    it('does not wait if the best one is proved to be complete', () => {
      const choice = chooseTarget({
        ...unproved,
        unverifiedDepartures: [],
        mayReturn: [absent],
      });
      expect(choice).toEqual({
        kind: 'promote',
        target: 'a',
        position: {term: 1, position: 3},
      });
    });

    it('does not wait for one that has nothing that the best one lacks', () => {
      const bounded = {...absent, id: 'other', isBounded: true};
      const inputs = {...unproved, mayReturn: [bounded]};
      const behind = {...inputs, minimumPosition: {term: 1, position: 4}};
      expect(chooseTarget(inputs).kind).toEqual('promote');
      expect(chooseTarget(behind).kind).toEqual('wait');
    });
  });

  describe('when the reported positions lack a commit that may be acknowledged', () => {
    const minimumPosition = {term: 1, position: 5};

    it('does not promote the replica that received nothing, although all have reported', () => {
      const choice = chooseTarget({
        ...NOTHING_LOST,
        minimumPosition,
        oldPrimary: candidate('p', 6),
        replicas: [candidate('deaf', 2)],
      });
      expect(choice.kind === 'promote' && choice.target).toEqual('p');
    });

    it('does not trust an old primary that came back without its log', () => {
      const choice = chooseTarget({
        ...NOTHING_LOST,
        minimumPosition,
        oldPrimary: candidate('p', 0),
        replicas: [candidate('a'), candidate('b', 2)],
      });
      expect(choice.kind).toEqual('wait');
    });
  });

  // Guards against an empty replica in place of an old primary that has reported.
  it('chooses the old primary without a proof if no replica is ahead of it', () => {
    const choice = chooseTarget({
      ...NOTHING_LOST,
      replicas: [candidate('replica', 0)],
      oldPrimary: candidate('old', 3),
      minimumPosition: {term: 1, position: 4},
    });
    expect(choice).toHaveSubset({kind: 'promote', target: 'old'});
    expect(
      choice.kind === 'promote' && choice.unverified !== undefined,
    ).toEqual(true);
  });

  describe('restsOnList', () => {
    const inputs: TargetInputs = {
      ...NOTHING_LOST,
      replicas: [candidate('replica', 3)],
      oldPrimary: candidate('old', 3),
    };
    const choice = {
      kind: 'promote',
      target: 'replica',
      position: {term: 1, position: 3},
    } as const;

    it('is false if the target has all that the old primary reported', () => {
      expect(restsOnList(inputs, choice)).toEqual(false);
    });

    it('is true if the old primary has more, or has not reported', () => {
      const longer = {...inputs, oldPrimary: candidate('old', 4)};
      expect(restsOnList(longer, choice)).toEqual(true);
      const silent = {...inputs, oldPrimary: candidate('old')};
      expect(restsOnList(silent, choice)).toEqual(true);
    });
  });
});
