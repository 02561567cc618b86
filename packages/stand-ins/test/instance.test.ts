import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {waitUntil} from '../src/index.js';
import {InstanceGroup} from './support/instance-group.js';

const INSERT = 'INSERT INTO bookings (id, stand) VALUES (?, ?)';
const SELECT = 'SELECT * FROM bookings WHERE id = ?';

describe('DatabaseInstance', () => {
  let group: InstanceGroup;

  beforeEach(async () => {
    group = new InstanceGroup(1, {connectionLimit: 6});
    await group.start();
  });

  afterEach(() => group.stop());

  describe('connections', () => {
    it('refuses a request before POST /open', async () => {
      const answer = await group.socket(1).read(SELECT, ['a']);
      expect(answer.body['reason']).toEqual('not-opened');
    });

    it('refuses connections above the limit and counts them', async () => {
      for (let opened = 0; opened < 6; opened += 1) await group.connect(1);
      const refused = await group.socket(1).post('/open', {client: 'late'});
      expect(refused.body['reason']).toEqual('too-many-connections');
      const counts = await group.control(1, 'GET', '/connections');
      expect(counts).toEqual({
        open: 6,
        highest: 6,
        refused: 1,
        byClient: {test: 6},
      });
    });

    it('rolls back the transaction of a socket that closes', async () => {
      const first = await group.connect(1);
      const begun = await first.post('/begin', {access: 'write', term: 1});
      const transaction = String(begun.body['transaction']);
      await first.write(INSERT, ['a', 'brass'], 1, transaction);
      const second = await group.connect(1);
      const locked = await second.write(INSERT, ['a', 'steel']);
      expect(locked.body['reason']).toEqual('statement-failed');
      await first.close();
      await waitUntil(
        'The socket is closed',
        async () => (await second.status()).connections === 1,
        5_000,
      );
      const read = await second.read(SELECT, ['a']);
      expect(read.body['rows']).toEqual([]);
      const written = await second.write(INSERT, ['a', 'steel']);
      expect(written.status).toEqual(200);
    });
  });

  describe('replication', () => {
    it('shows a write of the primary at a replica', async () => {
      const primary = await group.connect(1);
      const replica = await group.connect(2);
      const written = await primary.write(INSERT, ['a', 'brass']);
      expect(written.body['position']).toEqual({term: 1, position: 2});
      await replica.waitForPosition(1, 2);
      const read = await replica.read(SELECT, ['a']);
      expect(read.body['rows']).toEqual([{id: 'a', stand: 'brass'}]);
    });

    it('refuses a read at a replica that has not reached the position', async () => {
      await group.control(2, 'PUT', '/tuning', {replicationLagMs: 60_000});
      const primary = await group.connect(1);
      const replica = await group.connect(2);
      await primary.write(INSERT, ['a', 'brass']);
      const read = await replica.post('/statement', {
        sql: SELECT,
        parameters: ['a'],
        access: 'read',
        minimumPosition: {term: 1, position: 2},
      });
      expect(read.body['reason']).toEqual('behind-position');
    });
  });

  describe('transactions', () => {
    it('commit all changes as one entry and hide them from others until then', async () => {
      const writer = await group.connect(1);
      const other = await group.connect(1);
      const begun = await writer.post('/begin', {access: 'write', term: 1});
      const transaction = String(begun.body['transaction']);
      await writer.write(INSERT, ['a', 'brass'], 1, transaction);
      await writer.write(INSERT, ['b', 'steel'], 1, transaction);
      const own = await writer.post('/statement', {
        sql: SELECT,
        parameters: ['a'],
        access: 'read',
        transaction,
      });
      expect(own.body['rowCount']).toEqual(1);
      expect((await other.read(SELECT, ['a'])).body['rowCount']).toEqual(0);
      const committed = await writer.post('/commit', {transaction});
      expect(committed.body['position']).toEqual({term: 1, position: 2});
      expect((await other.read(SELECT, ['b'])).body['rowCount']).toEqual(1);
    });

    it('cannot be committed on another connection', async () => {
      const writer = await group.connect(1);
      const other = await group.connect(1);
      const begun = await writer.post('/begin', {access: 'write', term: 1});
      const {transaction} = begun.body;
      const answer = await other.post('/commit', {transaction});
      expect(answer.body['reason']).toEqual('no-transaction');
    });

    it('are refused while the instance is stopping', async () => {
      const writer = await group.connect(1);
      await group.control(1, 'PUT', '/tuning', {stopping: true});
      const answer = await writer.post('/begin', {access: 'write', term: 1});
      expect(answer.body['reason']).toEqual('stopping');
    });
  });

  describe('terms', () => {
    const grant = {path: '/grant', body: {term: 5, coordinator: 'test'}};
    const read = {sql: SELECT, parameters: ['a'], access: 'read'};
    const insert = {sql: INSERT, parameters: ['a', 'brass'], access: 'write'};
    const promote = {replicas: []};
    const follow = {primary: {instance: 'x', address: '127.0.0.1', port: 1}};
    const cases = [
      {
        name: 'a write of a lower term than the granted one',
        at: 1,
        before: grant,
        path: '/statement',
        body: {...insert, term: 1},
        reason: 'stale-term',
      },
      {
        name: 'a read of a lower term than the granted one',
        at: 1,
        before: grant,
        path: '/statement',
        body: {...read, term: 1},
        reason: 'stale-term',
      },
      {
        name: 'a write of no term after a grant',
        at: 1,
        before: grant,
        path: '/statement',
        body: insert,
        reason: 'not-primary',
      },
      {
        name: 'a write at a replica',
        at: 2,
        path: '/statement',
        body: {...insert, term: 1},
        reason: 'not-primary',
      },
      {
        name: 'a transaction of a lower term',
        at: 1,
        before: grant,
        path: '/begin',
        body: {access: 'write', term: 1},
        reason: 'stale-term',
      },
      {
        name: 'a promotion in a term that was not granted',
        at: 2,
        path: '/promote',
        body: {...promote, term: 2},
        reason: 'stale-term',
      },
      {
        name: 'a promotion in a term below the granted one',
        at: 2,
        before: grant,
        path: '/promote',
        body: {...promote, term: 4},
        reason: 'stale-term',
      },
      {
        name: 'to follow in a lower term',
        at: 2,
        before: grant,
        path: '/follow',
        body: {...follow, term: 4},
        reason: 'stale-term',
      },
      {
        name: 'to follow a primary that cannot be reached',
        at: 2,
        path: '/follow',
        body: {...follow, term: 2},
        reason: 'invalid',
      },
    ];
    for (const {name, at, before, path, body, reason} of cases) {
      it(`refuse ${name}`, async () => {
        const socket = await group.connect(at);
        if (before !== undefined) await socket.post(before.path, before.body);
        const answer = await socket.post(path, body);
        expect(answer.body['reason']).toEqual(reason);
      });
    }

    it('are granted only once', async () => {
      const socket = await group.connect(2);
      const first = await socket.post(grant.path, grant.body);
      const second = await socket.post(grant.path, grant.body);
      expect([first.body['granted'], second.body['granted']]).toEqual([
        true,
        false,
      ]);
    });

    it('stay granted when the port is closed and reopened', async () => {
      const socket = await group.connect(2);
      await socket.post(grant.path, grant.body);
      await group.control(2, 'PUT', '/faults', {down: true});
      await group.control(2, 'PUT', '/faults', {});
      const again = await group.connect(2);
      expect((await again.status()).grantedTerm).toEqual(5);
    });

    it('stop replication at a replica that granted a higher one', async () => {
      const primary = await group.connect(1);
      const replica = await group.connect(2);
      await replica.waitForPosition(1, 1);
      await replica.post(grant.path, grant.body);
      await primary.write(INSERT, ['a', 'brass']);
      const other = await group.connect(3);
      await other.waitForPosition(1, 2);
      const {position} = await replica.status();
      expect(position).toEqual({term: 1, position: 1});
    });
  });

  describe('change of primary', () => {
    it('drops the divergent entries of the old primary and returns their number', async () => {
      const old = await group.connect(1);
      const next = await group.connect(2);
      const third = await group.connect(3);
      for (const replica of [next, third]) await replica.waitForPosition(1, 1);
      for (const number of [2, 3]) {
        await group.control(number, 'PUT', '/tuning', {
          replicationLagMs: 60_000,
        });
      }
      await old.write(INSERT, ['a', 'brass']);
      await old.write(INSERT, ['b', 'steel']);
      await next.post('/grant', {term: 2, coordinator: 'test'});
      await third.post('/grant', {term: 2, coordinator: 'test'});
      await next.post('/promote', {
        term: 2,
        replicas: [group.peer(1), group.peer(3)],
      });
      await next.write(INSERT, ['c', 'steel'], 2);
      const followed = await old.post('/follow', {
        term: 2,
        primary: group.peer(2),
      });
      expect(followed.body['droppedEntries']).toEqual(2);
      await old.waitForPosition(2, 3);
      const read = await old.read('SELECT * FROM bookings');
      expect(read.body['rows']).toEqual([{id: 'c', stand: 'steel'}]);
    });
  });
});
