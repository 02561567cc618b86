/** Stand-ins of database instances that replicate their own writes. */
import {createHash} from 'node:crypto';
import {createServer} from 'node:net';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {MessageReader, splitFields} from './messages.js';

/** Time until a replica has received a commit, in milliseconds. */
const RECEIVE_MS = 2;

/** Time until a replica has applied a commit, in milliseconds. */
const APPLY_MS = 20;

/** Time until a promoted instance leads, in milliseconds. */
const PROMOTE_MS = 600;

/** Interval at which an instance writes its entry, in milliseconds. */
const CHECK_IN_MS = 1_200;

/** The instances of one service; the first one leads at the start. */
export class Service {
  constructor(name, store, zones) {
    this.name = name;
    this.store = store;
    this.term = 3;
    this.instances = zones.map(
      (zone, index) => new Instance(this, `i-${name}-${index}`, zone),
    );
    this.instances[0].isPrimary = true;
    /** Returns the rows of a read, if a case needs others than the usual one. */
    this.rowsOf = () => undefined;
    /** Returns for how long a read is at work, in milliseconds. */
    this.workOf = () => 0;
    /** Each statement of a client that was run: id, text and instance. */
    this.runs = [];
  }

  async start() {
    for (const instance of this.instances) await instance.start();
  }

  /** Starts a further replica with the log of the primary. */
  async add(zone) {
    const id = `i-${this.name}-${this.instances.length}`;
    const instance = new Instance(this, id, zone);
    const {term, log, data} = this.primary;
    Object.assign(instance, {term, log: [...log], data: new Map(data)});
    instance.applied = log.length;
    this.instances.push(instance);
    await instance.start();
    return instance;
  }

  close() {
    for (const instance of this.instances) instance.close();
  }

  /** The running primary of the newest term, if any. */
  get primary() {
    return this.instances
      .filter(({isPrimary, isDown}) => isPrimary && !isDown)
      .sort((left, right) => right.term - left.term)[0];
  }

  /** Sends a commit to the replicas; resolves once one has received it. */
  replicate(primary, entry) {
    const replicas = this.instances.filter(
      each =>
        each !== primary &&
        !each.isDown &&
        !each.isPrimary &&
        each.heldTerm <= primary.term,
    );
    return new Promise(resolve => {
      for (const replica of replicas) {
        setTimeout(() => {
          replica.log.push(entry);
          resolve();
          setTimeout(() => replica.apply(), APPLY_MS);
        }, RECEIVE_MS);
      }
    });
  }

  /** Handles the platform's promotion call; returns its status. */
  promote(id) {
    const target = this.instances.find(each => each.id === id);
    if (target === undefined || target.isDown) return 409;
    if (target === this.primary) return 200;
    setTimeout(() => {
      if (target.isDown) return;
      this.term += 1;
      target.lead(this.term);
      for (const other of this.instances) {
        if (other !== target && !other.isPrimary) other.follow(target);
      }
      const old = this.instances.filter(
        each => each !== target && each.isPrimary,
      );
      for (const each of old) setTimeout(() => each.follow(target), 1_000);
    }, PROMOTE_MS);
    return 200;
  }
}

/** One instance. */
export class Instance {
  constructor(service, id, zone) {
    this.service = service;
    this.id = id;
    this.zone = zone;
    this.isPrimary = false;
    this.isDown = false;
    this.isLeaving = false;
    this.term = service.term;
    this.heldTerm = 0;
    this.log = [];
    this.applied = 0;
    this.data = new Map();
    this.born = Date.now();
    this.sequence = 0;
    this.sockets = new Set();
  }

  get received() {
    const last = this.log.at(-1);
    return last === undefined
      ? `${this.service.term === this.term ? this.term : 3}.0`
      : `${last.term}.${last.number}`;
  }

  get position() {
    const last = this.log[this.applied - 1];
    return last === undefined ? '3.0' : `${last.term}.${last.number}`;
  }

  async start() {
    this.server = createServer({noDelay: true}, socket => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      new InstanceConnection(this, socket);
    });
    await new Promise(resolve =>
      this.server.listen({host: '127.0.0.1', port: 0}, resolve),
    );
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.checkIn();
    this.timer = setInterval(() => this.checkIn(), CHECK_IN_MS);
  }

  close() {
    this.isDown = true;
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** What the instance writes of itself into the store. */
  entry() {
    return {
      service: this.service.name,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 3,
      state: this.isLeaving ? 'draining' : 'ready',
      coldRemainingMs: 0,
      dbRole: this.isPrimary ? 'primary' : 'replica',
      sequence: this.sequence,
      born: this.born,
    };
  }

  /** Reports that the instance is about to leave. */
  drain() {
    this.isLeaving = true;
    this.checkIn();
  }

  /** Ends after it has drained; its entry is removed. */
  leave() {
    this.close();
    this.service.store.apply([], [`servers/${this.id}`]);
  }

  checkIn() {
    this.sequence += 1;
    this.service.store.put(`servers/${this.id}`, JSON.stringify(this.entry()));
  }

  apply() {
    while (this.applied < this.log.length) {
      for (const [item, value] of this.log[this.applied].changes)
        this.data.set(item, value);
      this.applied += 1;
    }
  }

  lead(term) {
    this.apply();
    this.term = term;
    this.heldTerm = 0;
    this.isPrimary = true;
    this.log.push({term, number: this.log.length + 1, changes: []});
    this.apply();
    this.checkIn();
  }

  follow(leader) {
    this.isPrimary = false;
    this.heldTerm = 0;
    this.term = leader.term;
    this.log = [...leader.log];
    this.data = new Map(leader.data);
    this.applied = this.log.length;
    this.checkIn();
  }

  /** Commits changes; resolves to false if this instance does not lead. */
  async commit(changes) {
    if (!this.isPrimary) return false;
    const entry = {term: this.term, number: this.log.length + 1, changes};
    this.log.push(entry);
    this.apply();
    await this.service.replicate(this, entry);
    return true;
  }
}

/** One connection to an instance. */
class InstanceConnection {
  constructor(instance, socket) {
    this.instance = instance;
    this.socket = socket;
    this.reader = new MessageReader();
    this.queue = Promise.resolve();
    this.prepared = new Map();
    this.transaction = undefined;
    this.isStarted = false;
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      for (const line of this.reader.push(chunk)) {
        this.queue = this.queue.then(() => this.serve(line));
      }
    });
  }

  write(text) {
    if (!this.socket.destroyed) this.socket.write(text, 'latin1');
  }

  get ready() {
    const state = this.transaction?.state ?? 'I';
    return `READY ${state} ${this.instance.position}\r\n`;
  }

  async serve(line) {
    const [word, first = '', rest = ''] = splitFields(line, 3);
    if (word === 'STARTUP') {
      const [sender, id] = rest.split(' ');
      this.sender = sender;
      const isRight =
        first === this.instance.service.name &&
        (id === undefined || id === this.instance.id);
      if (!isRight) {
        this.socket.end('ERROR MISROUTED another instance\r\n');
        return;
      }
      this.isStarted = true;
      this.write(this.ready);
      return;
    }
    if (word !== 'QUERY' || !this.isStarted) {
      this.socket.destroy();
      return;
    }
    const {rows = [], error, digest = '-'} = await this.run(first, rest);
    const body = rows.map(row => `ROW ${row}\r\n`).join('');
    const end =
      error === undefined ? `COMPLETE ${digest}\r\n` : `ERROR ${error}\r\n`;
    this.write(body + end + this.ready);
  }

  async run(id, text) {
    const [word = '', rest = ''] = splitFields(text, 2);
    if (this.transaction?.state === 'E') {
      if (word !== 'ROLLBACK' && word !== 'COMMIT')
        return {error: 'MALFORMED the transaction failed'};
      this.transaction = undefined;
      return {};
    }
    const result = await this.execute(id, text, word, rest);
    if (result.error !== undefined && this.transaction !== undefined)
      this.transaction.state = 'E';
    return result;
  }

  async execute(id, text, word, rest) {
    const {instance} = this;
    switch (word) {
      case 'AFTER': {
        const [position, statement = ''] = splitFields(rest, 2);
        if (compare(instance.position, position) < 0)
          return {error: 'LAGGING not there yet'};
        const [inner = '', innerRest = ''] = splitFields(statement, 2);
        return this.execute(id, text, inner, innerRest);
      }
      case 'BEGIN':
        if (rest !== 'FETCH' && !instance.isPrimary)
          return {error: `READONLY ${instance.id}`};
        this.transaction = {state: 'T', changes: [], isRead: rest === 'FETCH'};
        return {};
      case 'ROLLBACK':
        this.transaction = undefined;
        return {};
      case 'COMMIT': {
        const {changes = []} = this.transaction ?? {};
        this.transaction = undefined;
        return this.finish(id, text, changes);
      }
      case 'FETCH':
        return this.read(id, text, rest);
      case 'STORE':
        return this.store(id, text, rest);
      case 'PREPARE': {
        const [name, kind] = splitFields(rest, 3);
        this.prepared.set(name, kind);
        return {};
      }
      case 'EXECUTE': {
        const [name, parameters = ''] = splitFields(rest, 2);
        const kind = this.prepared.get(name);
        if (kind === undefined) return {error: 'NOSTMT no such name'};
        return kind === 'STORE'
          ? this.store(id, text, parameters)
          : this.read(id, text, parameters);
      }
      case 'RESET':
        this.prepared.clear();
        return {};
      case 'SET':
        return {};
      case 'DEALLOC':
        return this.prepared.delete(rest) ? {} : {error: 'NOSTMT no such name'};
      default:
        return this.control(word, Number(rest));
    }
  }

  /** Records that a statement of a client was run, and which gateway sent it. */
  note(id, text) {
    const {instance, sender} = this;
    instance.service.runs.push({
      id,
      text: text.slice(0, 60),
      instance: instance.id,
      sender,
    });
  }

  async read(id, text, item) {
    const {instance} = this;
    const {service} = instance;
    this.note(id, text);
    const workMs = service.workOf(item.trim());
    if (workMs > 0) await new Promise(resolve => setTimeout(resolve, workMs));
    const value = instance.data.get(item.trim());
    const rows =
      service.rowsOf(item.trim()) ?? (value === undefined ? [] : [value]);
    return {rows, digest: digestOf(id, rows)};
  }

  async store(id, text, rest) {
    const [item, value = ''] = splitFields(rest, 2);
    const {instance} = this;
    if (!instance.isPrimary || this.transaction?.isRead === true)
      return {error: `READONLY ${instance.id}`};
    if (this.transaction !== undefined) {
      this.note(id, text);
      this.transaction.changes.push([item, value]);
      return {digest: digestOf(id, [])};
    }
    return this.finish(id, text, [[item, value]]);
  }

  async finish(id, text, changes) {
    const {instance} = this;
    if (changes.length > 0 && !(await instance.commit(changes)))
      return {error: `READONLY ${instance.id}`};
    this.note(id, text);
    return {digest: digestOf(id, [])};
  }

  control(word, term) {
    const {instance} = this;
    switch (word) {
      case 'STATUS':
        break;
      case 'PAUSE':
        if (term > instance.term && !instance.isPrimary)
          instance.heldTerm = Math.max(instance.heldTerm, term);
        break;
      case 'RESUME':
        instance.heldTerm = 0;
        break;
      case 'STEPDOWN':
        if (term > instance.term) instance.isPrimary = false;
        break;
      default:
        return {error: 'MALFORMED an unknown statement'};
    }
    const role = instance.isPrimary ? 'primary' : 'replica';
    const row = `${role} ${instance.term} ${instance.received} ${instance.heldTerm} 0 0 ${instance.sockets.size}`;
    return {rows: [row]};
  }
}

/** Returns the digest of a result. */
export function digestOf(id, rows) {
  return createHash('sha256')
    .update([id, ...rows].join('\n'), 'latin1')
    .digest('hex')
    .slice(0, 16);
}

function compare(left, right) {
  const [leftTerm, leftNumber] = left.split('.').map(Number);
  const [rightTerm, rightNumber] = right.split('.').map(Number);
  return leftTerm - rightTerm || leftNumber - rightNumber;
}
