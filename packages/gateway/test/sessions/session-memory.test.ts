import {
  ErrorKind,
  MAXIMUM_SESSION_BYTES,
  SessionBudget,
} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {expect} from 'earl';
import {beforeEach, describe, it} from 'node:test';
import type {
  InstanceReply,
  SessionContext,
  Statement,
} from '../../src/index.js';
import {CallerSession, GatewayMetrics, StatementKind} from '../../src/index.js';

/** How many full sessions the process can hold. */
const FULL_SESSIONS = 3;

/** A value of which a session holds at most four. */
const LONG_VALUE = 'x'.repeat(MAXIMUM_SESSION_BYTES / 4 - 1_000);

const VALUES_PER_SESSION = 4;

/** Number of entries that are stored until the memory of all sessions is full. */
const ENTRIES = FULL_SESSIONS * VALUES_PER_SESSION;

const SHORT = {kind: StatementKind.SetValue, name: 'colour', value: 'blue'};

describe('the memory of all sessions', () => {
  let budget: SessionBudget;
  let context: SessionContext;
  let finishRead: () => void;

  beforeEach(() => {
    budget = new SessionBudget(() => FULL_SESSIONS * MAXIMUM_SESSION_BYTES);
    const read = new Promise<InstanceReply>((_, reject) => {
      finishRead = () => reject(new Error('The caller has left.'));
    });
    context = {
      configuration: {
        current: {version: 1, routes: new Map([['books', {group: 'ledger'}]])},
      },
      runnerFor: () => ({run: () => read}),
      canSend: () => true,
      sessionBudget: budget,
      answersByMs: () => Infinity,
      metrics: new GatewayMetrics(),
      log: createSilentLogger(),
    } as unknown as SessionContext;
  });

  function open(): CallerSession {
    return new CallerSession(context, 'books');
  }

  async function send(
    session: CallerSession,
    statement: Statement,
  ): Promise<ErrorKind | undefined> {
    const reply = await session.handle({requestId: 'r1', statement});
    return reply.failure?.kind;
  }

  /** Fills a session; returns how many entries it stored before one was refused. */
  async function fill(session: CallerSession): Promise<number> {
    for (let index = 0; ; index += 1) {
      const name = `n${index}`;
      const kind = await send(
        session,
        index % 2 === 0
          ? {kind: StatementKind.SetValue, name, value: LONG_VALUE}
          : {
              kind: StatementKind.Prepare,
              name,
              preparedKind: 'read',
              shape: LONG_VALUE,
            },
      );
      if (kind === undefined) continue;
      expect(kind).toEqual(ErrorKind.InvalidInput);
      return index;
    }
  }

  /** Opens sessions and fills them; returns them and the number of stored entries. */
  async function fillAll(
    count: number,
  ): Promise<{sessions: CallerSession[]; stored: number}> {
    const sessions = Array.from({length: count}, open);
    let stored = 0;
    for (const session of sessions) stored += await fill(session);
    return {sessions, stored};
  }

  it('is bounded, and a session that needs none is served', async () => {
    const {sessions, stored} = await fillAll(3 * FULL_SESSIONS);
    expect(stored).toEqual(ENTRIES);
    expect(budget.heldBytes <= FULL_SESSIONS * MAXIMUM_SESSION_BYTES).toEqual(
      true,
    );
    const begin = {kind: StatementKind.Begin, isReadOnly: false} as const;
    expect(await send(sessions.at(-1)!, begin)).toEqual(undefined);
  });

  it('is given back when sessions end, any number of times', async () => {
    for (let round = 0; round < 3; round += 1) {
      const {sessions, stored} = await fillAll(2 * FULL_SESSIONS);
      expect(stored).toEqual(ENTRIES);
      for (const session of sessions) session.end();
      for (const session of sessions) session.end();
      expect(budget.heldBytes).toEqual(0);
    }
  });

  it('is given back when a statement ends after its session', async () => {
    const session = open();
    await fill(session);
    const text = 'FETCH 1a4';
    const running = send(session, {kind: StatementKind.Read, text});
    session.end();
    expect(budget.heldBytes > 0).toEqual(true);
    finishRead();
    await running;
    expect(budget.heldBytes).toEqual(0);
  });

  it('is given back by names that are removed and values that get shorter', async () => {
    const {sessions} = await fillAll(FULL_SESSIONS + 1);
    const [first] = sessions;
    const last = sessions.at(-1)!;
    expect(await send(last, {...SHORT, value: LONG_VALUE})).toEqual(
      ErrorKind.InvalidInput,
    );
    await send(first!, {kind: StatementKind.Deallocate, name: 'n1'});
    expect(await send(last, {...SHORT, value: LONG_VALUE})).toEqual(undefined);
    await send(first!, {...SHORT, name: 'n0'});
    const next = {...SHORT, name: 'shade', value: LONG_VALUE};
    expect(await send(last, next)).toEqual(undefined);
  });

  it('counts what an entry costs beyond its text', async () => {
    const session = open();
    expect(await send(session, {...SHORT, name: 'n', value: ''})).toEqual(
      undefined,
    );
    expect(budget.heldBytes > 100).toEqual(true);
    expect(await send(session, {...SHORT, name: 'n', value: 'x'})).toEqual(
      undefined,
    );
    session.end();
    expect(budget.heldBytes).toEqual(0);
  });
});
