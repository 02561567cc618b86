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
    replicas,
    hasSynchronousReplication: true,
    oldPrimary: logs.isPrimaryReachable ? report('p', logs.primary) : undefined,
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

    it('promotes the highest once all have reported, including the old primary', () => {
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

  it('prefers an active instance to an equal one that is leaving', () => {
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
