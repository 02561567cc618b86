import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {
  PromotionCandidate,
  ReplicationReport,
  TargetChoice,
  TargetInputs,
} from '../../src/index.js';
import {chooseTarget} from '../../src/index.js';

/** What really lies on the instances of one group. */
interface ActualLogs {
  /** Entries on the old primary. */
  readonly primary: number;
  /** Entries on each replica, and whether it can be asked. */
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

function report(id: string, position: number): ReplicationReport {
  return {
    id,
    isPrimary: false,
    term: 1,
    heldTerm: 2,
    received: {term: 1, position},
  };
}

/** What the coordinator gets to know of the true logs. */
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
    replicas,
    hasSynchronousReplication: true,
    oldPrimary: logs.isPrimaryReachable ? report('p', logs.primary) : undefined,
  };
}

/** The newest entry that may have been acknowledged: on a replica as well. */
function acknowledged(logs: ActualLogs): number {
  const onReplicas = logs.replicas.map(({entries}) =>
    Math.min(entries, logs.primary),
  );
  return Math.max(...onReplicas);
}

/** Promotes the highest reachable replica, whatever else there is. */
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
  if (choice.kind === 'wait') return false;
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

  it('is told apart from a choice that forgets unreachable replicas', () => {
    const lost = fc
      .sample(LOGS, {seed: 7, numRuns: 5_000})
      .filter(logs =>
        losesAcknowledgedEntry(logs, chooseNaively(observableInputs(logs))),
      );
    expect(lost.length > 0).toEqual(true);
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

  describe('once an instance was ordered to lead', () => {
    it('waits while any instance is out of reach, whatever the old primary said', () => {
      const choice = chooseTarget({
        hasSynchronousReplication: true,
        oldPrimary: report('p', 3),
        wasPromotionOrdered: true,
        replicas: [
          {id: 'a', isLeaving: false, report: undefined},
          {id: 'b', isLeaving: false, report: report('b', 3)},
          {id: 'p', isLeaving: false, report: report('p', 3)},
        ],
      });
      expect(choice.kind).toEqual('wait');
    });

    it('promotes the highest once all have reported, the old primary included', () => {
      const choice = chooseTarget({
        hasSynchronousReplication: true,
        oldPrimary: undefined,
        wasPromotionOrdered: true,
        replicas: [
          {id: 'b', isLeaving: false, report: report('b', 3)},
          {id: 'p', isLeaving: false, report: report('p', 4)},
        ],
      });
      expect(choice).toEqual({
        kind: 'promote',
        target: 'p',
        position: {term: 1, position: 4},
      });
    });
  });

  it('prefers an instance that stays to an equal one that leaves', () => {
    const choice = chooseTarget({
      hasSynchronousReplication: true,
      oldPrimary: undefined,
      replicas: [
        {id: 'a', isLeaving: true, report: report('a', 3)},
        {id: 'b', isLeaving: false, report: report('b', 3)},
      ],
    });
    expect(choice).toEqual({
      kind: 'promote',
      target: 'b',
      position: {term: 1, position: 3},
    });
  });
});
