import {afterEach, beforeEach, describe, it} from 'node:test';
import {ErrorKind, Outcome} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {expect} from 'earl';
import type {ExecutionRequest, StatementRunner} from '../../src/index.js';
import {MemberList, SessionTransaction} from '../../src/index.js';
import {
  failureOf,
  GROUP,
  LinkedProxy,
  publish,
  REPLY,
  requestOf,
} from '../support/linked-proxy.js';

/** Deadline of the requests, which none of them reaches, in milliseconds. */
const AMPLE_MS = 20_000;

/** Longest text of one message of a caller or an instance, in characters of one byte. */
const MESSAGE_CHARACTERS = 1_048_500;

/** Rows of 2.4 MB. */
const LONG_ROWS = Array.from({length: 12}, (_, index) =>
  String(index).padEnd(200_000, 'x'),
);

/** Rows that no link carries. */
const ENDLESS_ROWS = Array.from({length: 40}, () =>
  'é'.repeat(MESSAGE_CHARACTERS),
);

/** Returns a request with ample time. */
function patientRequestOf(
  requestId: string,
  isRead: boolean,
): ExecutionRequest {
  const deadlineMs = performance.now() + AMPLE_MS;
  return {
    ...requestOf(requestId, isRead),
    deadlineMs,
    queueDeadlineMs: deadlineMs,
  };
}

describe('ForwardingService with long messages', () => {
  let entry: LinkedProxy;
  let owners: LinkedProxy[];
  let remote: StatementRunner;

  beforeEach(async () => {
    const members = new MemberList(createSilentLogger());
    const names = ['left', 'right'];
    entry = new LinkedProxy('entry', members, () => names);
    entry.owns = false;
    owners = names.map(name => new LinkedProxy(name, members, () => names));
    for (const proxy of [entry, ...owners]) {
      await proxy.service.start();
      publish(members, proxy);
    }
    remote = entry.service.runnerFor(GROUP);
  });

  afterEach(async () => {
    for (const {service} of [entry, ...owners]) await service.stop();
  });

  function ran(): ExecutionRequest[] {
    return owners.flatMap(({runner}) => runner.ran);
  }

  function answerWith(rows: readonly string[]): void {
    for (const {runner} of owners)
      runner.answer = () => Promise.resolve({...REPLY, rows});
  }

  it('returns a result of 2.4 MB, and runs the read once', async () => {
    answerWith(LONG_ROWS);
    const reply = await remote.run(patientRequestOf('r1', true));
    expect(reply.rows).toEqual(LONG_ROWS);
    expect(ran().length).toEqual(1);
  });

  it('sends a session with 2.4 MB of values', async () => {
    const request = patientRequestOf('w1', false);
    LONG_ROWS.forEach((value, index) =>
      request.values.set(`name-${index}`, value),
    );
    expect(await remote.run(request)).toEqual(REPLY);
    expect([...ran()[0]!.values.values.values()].slice(1)).toEqual(LONG_ROWS);
  });

  it('sends the longest statement with the longest value', async () => {
    const longest = 'é'.repeat(MESSAGE_CHARACTERS);
    const request = patientRequestOf('w1', false);
    request.values.set('colour', longest);
    const statement = {...request.statement, text: longest};
    expect(await remote.run({...request, statement})).toEqual(REPLY);
    expect(ran()[0]!.statement.text).toEqual(longest);
  });

  describe('a result that no link carries', () => {
    beforeEach(() => answerWith(ENDLESS_ROWS));

    it('of a read is an error of the run, and no other owner runs it', async () => {
      const error = await failureOf(remote.run(patientRequestOf('r1', true)));
      expect(error.kind).toEqual(ErrorKind.RunFailed);
      expect(ran().length).toEqual(1);
      answerWith(REPLY.rows);
      expect(await remote.run(patientRequestOf('r2', true))).toEqual(REPLY);
    });

    it('of a write leaves its outcome unknown', async () => {
      const error = await failureOf(remote.run(patientRequestOf('w1', false)));
      expect(error.kind).toEqual(ErrorKind.OutcomeUnknown);
      expect(error.outcome).toEqual(Outcome.Unknown);
      expect(ran().length).toEqual(1);
    });

    it('of a statement of a transaction rolls the transaction back', async () => {
      const request = patientRequestOf('t1', true);
      const transaction = new SessionTransaction(false, request.route, remote);
      const error = await failureOf(transaction.run(request));
      expect(error.kind).toEqual(ErrorKind.RunFailed);
      const events = owners.flatMap(({runner}) => runner.events);
      expect(events).toEqual(['begin', 'run t1', 'roll back']);
    });
  });

  describe('a request that no link carries', () => {
    function endlessRequestOf(requestId: string): ExecutionRequest {
      const request = patientRequestOf(requestId, false);
      const text = 'x'.repeat(40 * MESSAGE_CHARACTERS);
      return {...request, statement: {...request.statement, text}};
    }

    it('is refused as "not run", and the owners stay in use', async () => {
      await remote.run(patientRequestOf('r1', true));
      const error = await failureOf(remote.run(endlessRequestOf('w1')));
      expect(error.kind).toEqual(ErrorKind.Overloaded);
      expect(error.outcome).toEqual(Outcome.NotRun);
      expect(entry.service.hasReachableOwner(GROUP)).toEqual(true);
      expect(await remote.run(patientRequestOf('r2', true))).toEqual(REPLY);
      expect(ran().length).toEqual(2);
    });

    it('in a transaction is refused, and nothing of the transaction is kept', async () => {
      const {route} = patientRequestOf('t', true);
      const transaction = new SessionTransaction(false, route, remote);
      await transaction.run(patientRequestOf('t1', false));
      const error = await failureOf(transaction.run(endlessRequestOf('t2')));
      expect(error.kind).toEqual(ErrorKind.TransactionLost);
      expect(error.outcome).toEqual(Outcome.NotRun);
    });
  });
});
