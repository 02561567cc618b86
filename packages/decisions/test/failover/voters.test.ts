import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  FailoverEffect,
  FailoverEvent,
  FailoverState,
  GroupResource,
  InstanceReport,
  VoterSet,
} from '../../src/index.js';
import {
  applyTermObservation,
  ConfirmationState,
  createFailoverState,
  createWaitingWrite,
  DEFAULT_FAILOVER_POLICY,
  evaluateConfirmation,
  stepFailover,
} from '../../src/index.js';

const TERM = 4;
const NEXT_TERM = 5;

/** Position of the log of the primary and of each replica that has caught up. */
const POSITION = {term: TERM, position: 7};

const FORMER: VoterSet = {
  term: TERM,
  instances: ['ledger-1', 'ledger-2', 'ledger-3'],
  version: 1,
};
const REPLACED = ['ledger-1', 'ledger-2', 'ledger-4'];

function groupOf(names: readonly string[]): GroupResource {
  const instances = names.map(name => ({name, zone: 'a', state: 'active'}));
  return {name: 'ledger', instances} as unknown as GroupResource;
}

describe('the voters of a group', () => {
  let state: FailoverState;
  let effects: FailoverEffect[];
  let nowMs: number;

  function step(event: FailoverEvent): void {
    nowMs += 1;
    const result = stepFailover(state, event, nowMs, DEFAULT_FAILOVER_POLICY);
    state = result.state;
    effects.push(...result.effects);
  }

  function start(
    declared: readonly string[],
    voters?: VoterSet,
    earlier: readonly VoterSet[] = [],
  ): void {
    const view = {
      group: 'ledger',
      term: TERM,
      primary: 'ledger-1',
      termStarts: [],
      voterSets: voters && [voters, ...earlier],
    };
    state = createFailoverState({
      self: 'entry-a',
      zone: 'a',
      group: groupOf(declared),
      coordinators: ['entry-a'],
      view: voters && view,
    });
  }

  function declare(names: readonly string[], version: number): void {
    const {coordinators} = state;
    const requestedPrimary = undefined;
    const group = groupOf(names);
    step({type: 'configured', group, version, coordinators, requestedPrimary});
  }

  function report(
    instance: string,
    changes: Partial<InstanceReport> = {},
  ): void {
    const isPrimary = instance === (state.view?.primary ?? 'ledger-1');
    const own = {
      instance,
      role: isPrimary ? 'primary' : 'replica',
      term: TERM,
      grantedTerm: TERM,
      position: POSITION,
      termStarts: [],
      replicas: {},
      stopping: false,
    } as const;
    step({type: 'reported', report: {...own, ...changes}, askedAtMs: nowMs});
  }

  /** Lets a planned change run until it requests a term. */
  function drain(): void {
    step({
      type: 'writes-drained',
      term: state.view?.term ?? 0,
      isComplete: true,
    });
    report(state.view?.primary ?? '', {
      term: state.view?.term ?? 0,
      grantedTerm: state.view?.term ?? 0,
    });
  }

  function grant(instance: string, voterSets?: readonly VoterSet[]): void {
    const term = state.attempt?.term;
    if (term === undefined) throw new Error('No term is requested.');
    const answer = {
      granted: true,
      grantedTerm: term,
      position: POSITION,
      termStarts: [],
      voterSets,
    };
    step({type: 'grant-answer', instance, term, answer});
  }

  function settle(): void {
    nowMs += DEFAULT_FAILOVER_POLICY.grantTimeoutMs;
    step({type: 'tick'});
  }

  function proposed(): readonly string[] | undefined {
    const found = effects.find(effect => effect.type === 'grant');
    return found?.type === 'grant' ? found.voters.instances : undefined;
  }

  function promotions(): ReadonlyArray<readonly VoterSet[]> {
    return effects.flatMap(effect =>
      effect.type === 'promote' ? [effect.voterSets] : [],
    );
  }

  beforeEach(() => {
    effects = [];
    nowMs = 0;
  });

  it('change in a new term once a majority of the declared has caught up', () => {
    start(FORMER.instances, FORMER);
    declare(REPLACED, 2);
    for (const name of ['ledger-1', 'ledger-2']) report(name);
    drain();
    expect(proposed()).toEqual(REPLACED);
    for (const name of ['ledger-1', 'ledger-2']) grant(name);
    settle();
    const voters = {term: NEXT_TERM, instances: REPLACED, version: 2};
    expect(promotions()).toEqual([[voters, FORMER]]);
  });

  it('do not change back by a declaration that is older than theirs', () => {
    start(FORMER.instances, {...FORMER, version: 3});
    declare(REPLACED, 2);
    for (const name of REPLACED) report(name);
    expect(state.plannedChange).toEqual(undefined);
    declare(REPLACED, 4);
    expect(state.plannedChange?.target).toEqual('ledger-1');
  });

  it('do not change while their own majority cannot be reached', () => {
    start(FORMER.instances, FORMER);
    const declared = ['ledger-1', 'ledger-4', 'ledger-5'];
    declare(declared, 2);
    for (const name of declared) report(name);
    expect(state.plannedChange).toEqual(undefined);
    expect(effects.some(({type}) => type === 'grant')).toEqual(false);
  });

  it('stay the same when their primary fails', () => {
    start(FORMER.instances, FORMER);
    report('ledger-2');
    report('ledger-3');
    step({type: 'unreachable', instance: 'ledger-1', reason: 'no answer'});
    expect(proposed()).toEqual(FORMER.instances);
  });

  it('include no instance that was replaced and is dead for good', () => {
    const voters = {term: TERM, instances: REPLACED, version: 2};
    start(REPLACED, voters, [{...FORMER, term: TERM - 1}]);
    for (const name of REPLACED) report(name);
    step({type: 'unreachable', instance: 'ledger-1', reason: 'no answer'});
    grant('ledger-2');
    grant('ledger-4');
    settle();
    const next = {term: NEXT_TERM, instances: REPLACED, version: 2};
    expect(promotions()).toEqual([[next]]);
  });

  it('of the former term have to grant while the present ones may lack its writes', () => {
    const voters = {term: TERM, instances: REPLACED, version: 2};
    start(REPLACED, voters, [{...FORMER, term: TERM - 1}]);
    report('ledger-1');
    for (const name of ['ledger-2', 'ledger-4']) {
      report(name, {position: {term: TERM - 1, position: 9}});
    }
    step({type: 'unreachable', instance: 'ledger-1', reason: 'no answer'});
    settle();
    expect(proposed()).toEqual(undefined);
  });

  it('of a later term that one of them granted have to grant as well', () => {
    start(FORMER.instances, FORMER);
    report('ledger-2');
    report('ledger-3');
    step({type: 'unreachable', instance: 'ledger-1', reason: 'no answer'});
    grant('ledger-2');
    const later = {term: NEXT_TERM, instances: ['ledger-1', 'ledger-4']};
    grant('ledger-3', [later]);
    settle();
    expect(promotions()).toEqual([]);
  });

  it('are all declared instances while no term is known to have been led', () => {
    start(REPLACED);
    for (const name of ['ledger-2', 'ledger-4']) {
      report(name, {term: 0, grantedTerm: 0, position: {term: 0, position: 0}});
    }
    settle();
    grant('ledger-2');
    grant('ledger-4');
    nowMs += DEFAULT_FAILOVER_POLICY.grantSettleMs;
    step({type: 'tick'});
    expect(promotions()).toEqual([]);
    grant('ledger-1');
    expect(promotions().length).toEqual(1);
  });

  it('do not include a primary that is none of them in a confirmation', () => {
    const write = createWaitingWrite({
      position: POSITION,
      primary: 'ledger-4',
      instances: FORMER.instances,
      sentAtMs: 0,
      deadlineAtMs: 1_000,
    });
    const observation = {
      instance: 'ledger-4',
      grantedTerm: TERM,
      position: POSITION,
      replicas: {'ledger-2': POSITION},
      askedAtMs: 0,
    };
    const byOne = applyTermObservation(write, observation);
    expect(evaluateConfirmation(byOne, 1)).toEqual(ConfirmationState.Waiting);
    const replicas = {...observation.replicas, 'ledger-3': POSITION};
    const byTwo = applyTermObservation(write, {...observation, replicas});
    expect(evaluateConfirmation(byTwo, 1)).toEqual(ConfirmationState.Confirmed);
  });
});
