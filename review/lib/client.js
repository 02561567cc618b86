/** Stand-in of a client: one session over the line protocol. */
import {connect} from 'node:net';
import {clearTimeout, setTimeout} from 'node:timers';
import {MessageReader, splitFields} from './messages.js';

/** One session; its requests are sent one at a time. */
export class Client {
  constructor(port) {
    this.reader = new MessageReader();
    this.rows = [];
    this.result = undefined;
    this.pending = undefined;
    this.isClosed = false;
    this.socket = connect({host: '127.0.0.1', port});
    this.socket.setNoDelay(true);
    this.socket.on('error', () => undefined);
    this.socket.on('data', chunk => {
      for (const line of this.reader.push(chunk)) this.receive(line);
    });
    this.socket.on('close', () => {
      this.isClosed = true;
      this.settle({result: 'CLOSED'});
    });
  }

  /** Opens the session; resolves to what was answered. */
  start(database, timeoutMs = 2_000) {
    return this.send(`STARTUP ${database} reviewer`, timeoutMs);
  }

  /** Sends a request; resolves to its result, or to NONE after a time-out. */
  query(id, text, timeoutMs = 4_000) {
    return this.send(`QUERY ${id} ${text}`, timeoutMs);
  }

  close() {
    this.socket.destroy();
  }

  send(line, timeoutMs) {
    if (this.isClosed) return Promise.resolve({result: 'CLOSED', rows: []});
    return new Promise(resolve => {
      const timer = setTimeout(() => this.settle({result: 'NONE'}), timeoutMs);
      this.pending = {resolve, timer};
      this.socket.write(`${line}\r\n`, 'latin1');
    });
  }

  receive(line) {
    const [word, rest = ''] = splitFields(line, 2);
    if (word === 'ROW') this.rows.push(rest);
    else if (word === 'COMPLETE' || word === 'ERROR') this.result = line;
    else if (word === 'READY')
      this.settle({result: this.result ?? 'READY', ready: line});
  }

  settle({result, ready}) {
    const {pending, rows} = this;
    this.pending = undefined;
    this.rows = [];
    this.result = undefined;
    if (pending === undefined) return;
    clearTimeout(pending.timer);
    pending.resolve({result, ready, rows});
  }
}
