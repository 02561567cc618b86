/**
 * Stand-in of the platform: its metadata store and the promotion call.
 *
 * Every gateway gets an endpoint of its own, so that one of them can be cut off
 * while the store serves the others.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';

const MAXIMUM_PAGE_ITEMS = 500;

/** Content of the store: items, history and leases. */
export class Store {
  constructor() {
    this.revision = 100;
    this.items = new Map();
    this.events = [];
    this.leases = new Map();
    this.nextLease = 70_001;
    this.watchers = new Set();
  }

  /** Writes an item as the operator or an instance does, without conditions. */
  put(key, value) {
    this.apply([{key, value: Buffer.from(value, 'utf8'), leaseId: 0}], []);
  }

  apply(puts, removals) {
    this.revision += 1;
    const rev = this.revision;
    for (const {key, value, leaseId} of puts) {
      const createdRev = this.items.get(key)?.createdRev ?? rev;
      const item = {
        key,
        value: value.toString('base64'),
        rev,
        createdRev,
        leaseId,
      };
      this.items.set(key, item);
      this.events.push(item);
      if (leaseId !== 0) this.leases.get(leaseId)?.keys.add(key);
    }
    for (const key of removals) {
      if (!this.items.delete(key)) continue;
      this.events.push({key, rev, tombstone: true});
    }
    for (const wake of [...this.watchers]) wake();
    return rev;
  }

  grant(ttlMs) {
    const leaseId = this.nextLease;
    this.nextLease += 1;
    const lease = {ttlMs, keys: new Set(), timer: undefined};
    this.leases.set(leaseId, lease);
    this.keep(leaseId);
    return leaseId;
  }

  keep(leaseId) {
    const lease = this.leases.get(leaseId);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.end(leaseId), lease.ttlMs);
    lease.timer.unref();
    return true;
  }

  end(leaseId) {
    const lease = this.leases.get(leaseId);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    this.leases.delete(leaseId);
    const keys = [...lease.keys].filter(
      key => this.items.get(key)?.leaseId === leaseId,
    );
    if (keys.length > 0) this.apply([], keys);
    return true;
  }
}

/** One address at which a gateway reaches the platform. */
export class PlatformEndpoint {
  /**
   * @param store - The content of the store.
   * @param promote - Called with service, id, holder and token; returns a status.
   */
  constructor(store, promote) {
    this.store = store;
    this.promote = promote;
    /** While true, the endpoint answers nothing; it is as if packets are lost. */
    this.isCut = false;
    /** Called with the prefix and the wait of each watch that arrives. */
    this.onWatch = () => undefined;
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('error', () => undefined);
      request.on('data', chunk => chunks.push(chunk));
      request.on('end', () => {
        if (this.isCut) return;
        this.answer(request, Buffer.concat(chunks).toString('utf8'), response);
      });
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async listen() {
    await new Promise(resolve =>
      this.server.listen({host: '127.0.0.1', port: 0}, resolve),
    );
    return `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  answer(request, text, response) {
    const url = new URL(request.url, 'http://platform');
    const body = text === '' ? undefined : JSON.parse(text);
    const reply = (status, content = {}) => {
      if (this.isCut) return;
      response.writeHead(status, {'Content-Type': 'application/json'});
      response.end(JSON.stringify(content));
    };
    const [, first, name, id] = url.pathname.split('/');
    if (first === 'promotion') {
      const holder = request.headers['x-sapphireglade-lease-holder'];
      const token = Number(request.headers['x-sapphireglade-fencing-token']);
      reply(this.promote(body.service, body.id, holder, token));
      return;
    }
    const {store} = this;
    const leaseId = Number(id);
    switch (`${request.method} ${name}`) {
      case 'GET kv-range':
        return reply(200, this.range(url.searchParams));
      case 'GET kv-watch':
        return this.watch(url.searchParams, response, reply);
      case 'POST kv-txn':
        return this.transact(body, reply);
      case 'POST kv-lease': {
        const ttlMs = Math.max(1_000, body.ttlMs);
        return reply(200, {leaseId: store.grant(ttlMs), ttlMs});
      }
      case 'POST kv-keep':
        return reply(store.keep(leaseId) ? 200 : 404);
      case 'DELETE kv-lease-end':
        return reply(store.end(leaseId) ? 200 : 404);
      default:
        return reply(404);
    }
  }

  range(query) {
    const prefix = query.get('pathPrefix') ?? '';
    const after = query.get('after') ?? '';
    const items = [...this.store.items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return {
      items: items.slice(0, MAXIMUM_PAGE_ITEMS),
      hasMore: items.length > MAXIMUM_PAGE_ITEMS,
      atRev: this.store.revision,
    };
  }

  watch(query, response, reply) {
    const {store} = this;
    const prefix = query.get('pathPrefix') ?? '';
    const after = Number(query.get('after'));
    const waitMs = Number(query.get('waitMs'));
    const finish = events => {
      clearTimeout(timer);
      store.watchers.delete(wake);
      reply(200, {events, atRev: store.revision});
    };
    const timer = setTimeout(() => finish([]), waitMs);
    const find = () =>
      store.events.filter(
        ({key, rev}) => rev > after && key.startsWith(prefix),
      );
    const wake = () => {
      const events = find();
      if (events.length > 0) finish(events);
    };
    this.onWatch(prefix, waitMs);
    const events = find();
    if (events.length > 0) return finish(events);
    store.watchers.add(wake);
    response.on('close', () => {
      clearTimeout(timer);
      store.watchers.delete(wake);
    });
    return undefined;
  }

  transact({precondition = [], puts = [], remove = []}, reply) {
    const {store} = this;
    const isMet = precondition.every(
      ({key, rev}) => (store.items.get(key)?.rev ?? 0) === rev,
    );
    if (!isMet) {
      const items = precondition.flatMap(({key}) => store.items.get(key) ?? []);
      return reply(412, {items});
    }
    const hasLeases = puts.every(
      ({leaseId = 0}) => leaseId === 0 || store.leases.has(leaseId),
    );
    if (!hasLeases) return reply(404);
    const decoded = puts.map(({key, value, leaseId = 0}) => ({
      key,
      value: Buffer.from(value, 'base64'),
      leaseId,
    }));
    return reply(200, {rev: store.apply(decoded, remove)});
  }
}
