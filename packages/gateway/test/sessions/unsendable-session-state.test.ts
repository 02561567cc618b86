import {
  ErrorKind,
  ReadConsistency,
  TransactionState,
  SessionBudget,
} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {expect} from 'earl';
import {beforeEach, describe, it} from 'node:test';
import type {
  InstanceCommand,
  SessionContext,
  SessionReply,
  Statement,
} from '../../src/index.js';
import {
  CallerSession,
  CommandKind,
  GatewayMetrics,
  StatementKind,
} from '../../src/index.js';

/** Longest text that the protocol of these instances can express. */
const MAXIMUM_TEXT_LENGTH = 10;

const FITTING = 'x'.repeat(MAXIMUM_TEXT_LENGTH);
const TOO_LONG = `${FITTING}x`;

/** Returns whether the protocol of these instances can express a command. */
function canSend(command: InstanceCommand): boolean {
  if (command.kind === CommandKind.SetValue)
    return command.value.length <= MAXIMUM_TEXT_LENGTH;
  if (command.kind === CommandKind.Prepare)
    return command.statement.shape.length <= MAXIMUM_TEXT_LENGTH;
  return true;
}

/** A route of no group; no statement reaches an instance in these tests. */
const ROUTE = {
  database: 'books',
  group: 'ledger',
  consistency: ReadConsistency.Primary,
};

/** The statements that change the state of a session, by the text they carry. */
const CHANGES: ReadonlyArray<
  readonly [name: string, change: (text: string) => Statement]
> = [
  ['a value', value => ({kind: StatementKind.SetValue, name: 'colour', value})],
  [
    'a prepared read',
    shape => ({
      kind: StatementKind.Prepare,
      name: 's1',
      preparedKind: 'read',
      shape,
    }),
  ],
  [
    'a prepared write',
    shape => ({
      kind: StatementKind.Prepare,
      name: 's1',
      preparedKind: 'write',
      shape,
    }),
  ],
];

describe('CallerSession', () => {
  let session: CallerSession;

  beforeEach(() => {
    const context = {
      configuration: {
        current: {version: 1, routes: new Map([['books', ROUTE]])},
      },
      runnerFor: () => undefined,
      sessionBudget: new SessionBudget(() => Infinity),
      canSend,
      answersByMs: () => Infinity,
      metrics: new GatewayMetrics(),
      log: createSilentLogger(),
    } as unknown as SessionContext;
    session = new CallerSession(context, 'books');
  });

  function send(statement: Statement): Promise<SessionReply> {
    return session.handle({requestId: 'r1', statement});
  }

  for (const [name, change] of CHANGES) {
    describe(`with ${name}`, () => {
      it('accepts what can be sent to an instance', async () => {
        const {failure} = await send(change(FITTING));
        expect(failure).toEqual(undefined);
      });

      it('refuses at once what can never be sent', async () => {
        const {failure, state} = await send(change(TOO_LONG));
        expect(failure?.kind).toEqual(ErrorKind.BodyTooLarge);
        expect(state).toEqual(TransactionState.Idle);
      });

      it('fails an open transaction with what can never be sent', async () => {
        await send({kind: StatementKind.Begin, isReadOnly: false});
        const {failure, state} = await send(change(TOO_LONG));
        expect(failure?.kind).toEqual(ErrorKind.BodyTooLarge);
        expect(state).toEqual(TransactionState.Failed);
      });
    });
  }
});
