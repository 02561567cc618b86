import {afterEach, beforeEach, describe, it} from 'node:test';
import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {StatementResponse} from '@sapphireglade/protocol';
import {expect} from 'earl';
import {TransactionTable} from '../../src/core/execution/transaction-table.js';
import type {InstancePool} from '../../src/core/pool/index.js';
import type {UpstreamConnection} from '../../src/core/upstream/index.js';

const TIMEOUT_MS = 1_000;

const BOOT = 'front-1-a';

const ANSWER: StatementResponse = {
  rows: [],
  rowCount: 1,
  position: {term: 1, position: 2},
  waitedMs: 0,
};

describe('TransactionTable', () => {
  let table: TransactionTable;
  let transaction: string;
  /** What reached the instance, in order. */
  let sent: string[];

  beforeEach(() => {
    sent = [];
    const answer = async (what: string): Promise<StatementResponse> => {
      sent.push(what);
      return ANSWER;
    };
    table = new TransactionTable(BOOT);
    transaction = table.add({
      caller: 'shop',
      group: 'ledger',
      connection: {
        isOpen: true,
        statement: () => answer('statement'),
        commit: () => answer('commit'),
        rollback: () => answer('rollback'),
      } as unknown as UpstreamConnection,
      pool: {
        instance: {name: 'one'},
        release: () => undefined,
      } as unknown as InstancePool,
      upstreamTransactionId: 't',
      term: 1,
    });
  });

  afterEach(() => table.stop());

  /** Fields of a request with the handle of the transaction, some of them changed. */
  function requestWith(changes: {
    group?: string;
    caller?: string;
    ownerBoot?: string;
  }) {
    return {
      requestId: 'r1',
      group: 'ledger',
      caller: 'shop',
      ownerBoot: BOOT,
      transaction,
      ...changes,
    };
  }

  async function kindOf(
    operation: Promise<unknown>,
  ): Promise<ErrorKind | undefined> {
    const error: unknown = await operation.catch((reason: unknown) => reason);
    return error instanceof SapphiregladeError ? error.kind : undefined;
  }

  it('runs and commits what its handle names', async () => {
    await table.statement(
      {
        type: 'transaction-statement',
        ...requestWith({}),
        sql: 'UPDATE accounts',
        parameters: [],
        access: 'write',
      },
      TIMEOUT_MS,
    );
    await table.finish(
      {type: 'finish-transaction', ...requestWith({}), commit: true},
      TIMEOUT_MS,
    );
    expect(sent).toEqual(['statement', 'commit']);
  });

  const changed = [
    {group: 'archive'},
    {caller: 'guest'},
    {ownerBoot: 'front-1-b'},
  ];
  for (const changes of changed) {
    describe(`with a handle changed to ${JSON.stringify(changes)}`, () => {
      it('runs no statement', async () => {
        const kind = await kindOf(
          table.statement(
            {
              type: 'transaction-statement',
              ...requestWith(changes),
              sql: 'UPDATE accounts',
              parameters: [],
              access: 'write',
            },
            TIMEOUT_MS,
          ),
        );
        expect(kind).toEqual(ErrorKind.TransactionLost);
        expect(sent).toEqual([]);
      });

      it('commits nothing, and the transaction stays open', async () => {
        const kind = await kindOf(
          table.finish(
            {
              type: 'finish-transaction',
              ...requestWith(changes),
              commit: true,
            },
            TIMEOUT_MS,
          ),
        );
        expect(kind).toEqual(ErrorKind.TransactionLost);
        expect(sent).toEqual([]);
        expect(table.size).toEqual(1);
      });
    });
  }
});
