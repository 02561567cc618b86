import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  FailoverEffect,
  FailoverEvent,
  FailoverState,
  GroupResource,
  WaitingWrite,
} from '../../src/index.js';
import {
  applyTermObservation,
  beginAttempt,
  ConfirmationState,
  createFailoverState,
  createWaitingWrite,
  DEFAULT_FAILOVER_POLICY,
  evaluateConfirmation,
  stepFailover,
} from '../../src/index.js';

/** Term of the primary that fails, and the next one. */
const OLD_TERM = 4;
const NEW_TERM = 5;

/** Position of the last acknowledged write, and of an instance that lacks it. */
const LAST_WRITE = 7;
const BEFORE_LAST_WRITE = 6;

function groupOf(names: readonly string[]): GroupResource {
  const instances = names.map(name => ({name, state: 'active'}));
  return {name: 'ledger', instances} as unknown as GroupResource;
}

/** Returns the write that the primary and ledger-3 hold, and nobody else. */
function lastWrite(instances: readonly string[]): WaitingWrite {
  const position = {term: OLD_TERM, position: LAST_WRITE};
  return applyTermObservation(
    createWaitingWrite({
      position,
      primary: 'ledger-1',
      instances,
      sentAtMs: 0,
      deadlineAtMs: 1_000,
    }),
    {
      instance: 'ledger-3',
      grantedTerm: OLD_TERM,
      position,
      replicas: {},
      askedAtMs: 0,
    },
  );
}

describe('a group whose instances change while its primary fails', () => {
  const declared = ['ledger-1', 'ledger-2', 'ledger-3'];
  let state: FailoverState;
  let effects: FailoverEffect[];

  function step(event: FailoverEvent, nowMs: number): void {
    const result = stepFailover(state, event, nowMs, DEFAULT_FAILOVER_POLICY);
    state = result.state;
    effects.push(...result.effects);
  }

  /** Starts to request the next term. */
  function requestTerm(): void {
    const attempt = beginAttempt(NEW_TERM, 'it has failed', undefined, 0);
    state = {...state, attempt, highestTerm: NEW_TERM};
  }

  /** Lets an instance grant the next term. */
  function grant(instance: string, position: number): void {
    const answer = {
      granted: true,
      grantedTerm: NEW_TERM,
      position: {term: OLD_TERM, position},
      termStarts: [],
    };
    step({type: 'grant-answer', instance, term: NEW_TERM, answer}, 1);
  }

  function declare(names: readonly string[]): void {
    const {coordinators} = state;
    const group = groupOf(names);
    const requestedPrimary = undefined;
    step({type: 'configured', group, coordinators, requestedPrimary}, 2);
  }

  /** Returns the instances that were ordered to lead by the end of the attempt. */
  function promoted(): string[] {
    step({type: 'tick'}, DEFAULT_FAILOVER_POLICY.grantTimeoutMs + 1);
    return effects.flatMap(effect =>
      effect.type === 'promote' ? [effect.instance] : [],
    );
  }

  beforeEach(() => {
    effects = [];
    state = createFailoverState({
      self: 'entry-a',
      zone: 'zone-a',
      group: groupOf(declared),
      coordinators: ['entry-a'],
      view: {
        group: 'ledger',
        term: OLD_TERM,
        primary: 'ledger-1',
        termStarts: [],
      },
    });
    const confirmation = evaluateConfirmation(lastWrite(declared), 1);
    expect(confirmation).toEqual(ConfirmationState.Confirmed);
  });

  it('promotes nobody by the grant of an instance that was removed', () => {
    requestTerm();
    grant('ledger-3', LAST_WRITE);
    declare(['ledger-1', 'ledger-2']);
    grant('ledger-2', BEFORE_LAST_WRITE);
    expect(promoted()).toEqual([]);
    expect(state.attempt).toEqual(undefined);
  });

  it('goes on with the grants if the same instances are declared again', () => {
    requestTerm();
    grant('ledger-3', LAST_WRITE);
    declare([...declared].reverse());
    grant('ledger-2', BEFORE_LAST_WRITE);
    expect(promoted()).toEqual(['ledger-3']);
  });

  it('promotes nobody by a majority that may lack what one of the former instances confirmed', () => {
    declare(['ledger-1', 'ledger-2', 'ledger-4']);
    requestTerm();
    grant('ledger-2', BEFORE_LAST_WRITE);
    grant('ledger-4', 0);
    expect(promoted()).toEqual([]);
  });
});
