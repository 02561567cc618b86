import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  ElectionAttempt,
  GrantAnswer,
  GroupResource,
} from '../../src/index.js';
import {
  advanceAttempt,
  AttemptPhase,
  beginAttempt,
  DEFAULT_FAILOVER_POLICY,
  recordGrantAnswer,
} from '../../src/index.js';

const POLICY = DEFAULT_FAILOVER_POLICY;

const GROUP = {
  instances: ['ledger-1', 'ledger-2', 'ledger-3'].map(name => ({
    name,
    state: 'active',
  })),
} as unknown as GroupResource;

function granted(position: number): GrantAnswer {
  return {
    granted: true,
    grantedTerm: 5,
    position: {term: 4, position},
    termStarts: [],
  };
}

/** A planned change away from ledger-1 towards ledger-2. */
function plannedAttempt(): ElectionAttempt {
  return beginAttempt(5, 'the primary is stopping', 'ledger-2', 0, 'ledger-1');
}

describe('an attempt of a planned change', () => {
  it('waits for the target when a majority without it has granted', () => {
    let attempt = plannedAttempt();
    attempt = recordGrantAnswer(attempt, GROUP, 'ledger-3', granted(6), 10);
    attempt = recordGrantAnswer(attempt, GROUP, 'ledger-1', granted(7), 12);
    const nowMs = 12 + POLICY.grantSettleMs;
    attempt = advanceAttempt(attempt, GROUP, nowMs, POLICY);
    expect(attempt.phase).toEqual(AttemptPhase.Granting);
    attempt = recordGrantAnswer(attempt, GROUP, 'ledger-2', granted(7), nowMs);
    attempt = advanceAttempt(attempt, GROUP, nowMs, POLICY);
    expect(attempt.candidate).toEqual('ledger-2');
  });

  it('prefers any other instance to the one that it replaces', () => {
    let attempt = plannedAttempt();
    attempt = recordGrantAnswer(attempt, GROUP, 'ledger-1', granted(7), 10);
    attempt = recordGrantAnswer(attempt, GROUP, 'ledger-3', granted(7), 12);
    attempt = advanceAttempt(attempt, GROUP, POLICY.grantTimeoutMs, POLICY);
    expect(attempt.candidate).toEqual('ledger-3');
  });

  it('keeps the old primary when it alone holds every confirmed write', () => {
    let attempt = plannedAttempt();
    attempt = recordGrantAnswer(attempt, GROUP, 'ledger-1', granted(8), 10);
    attempt = recordGrantAnswer(attempt, GROUP, 'ledger-3', granted(7), 12);
    attempt = advanceAttempt(attempt, GROUP, POLICY.grantTimeoutMs, POLICY);
    expect(attempt.candidate).toEqual('ledger-1');
  });
});
