/**
 * A network path that a partition may cut. Bytes that are held up are delivered
 * when it heals, unless their sender has reset the connection meanwhile.
 */
import {connect, createServer} from 'node:net';

const END = Symbol('end');

export class HeldPath {
  /** @param target - Where the path leads, as HOST:PORT. */
  constructor(target) {
    const [host, port] = target.split(':');
    this.target = {host, port: Number(port)};
    this.isCut = false;
    this.connections = new Set();
    /** Called with the bytes of each packet, before it is passed on or held up. */
    this.onPacket = () => undefined;
    /** Called when a connection ends while the path is cut. */
    this.onEnd = () => undefined;
    this.server = createServer({allowHalfOpen: true}, socket =>
      this.accept(socket),
    );
  }

  async listen() {
    await new Promise(resolve =>
      this.server.listen({host: '127.0.0.1', port: 0}, resolve),
    );
    return `127.0.0.1:${this.server.address().port}`;
  }

  cut() {
    this.isCut = true;
  }

  /** Delivers what was held up. */
  heal() {
    this.isCut = false;
    for (const {held, far} of this.connections) {
      for (const packet of held.splice(0)) {
        if (packet === END) far.end();
        else far.write(packet);
      }
    }
  }

  close() {
    this.server.close();
    for (const {near, far} of this.connections) {
      near.destroy();
      far.destroy();
    }
  }

  accept(near) {
    const far = connect({...this.target, allowHalfOpen: true});
    const connection = {near, far, held: []};
    this.connections.add(connection);
    const pass = packet => {
      if (this.isCut) connection.held.push(packet);
      else if (packet === END) far.end();
      else far.write(packet);
    };
    near.on('data', chunk => {
      this.onPacket(chunk);
      pass(chunk);
    });
    near.on('end', () => {
      if (this.isCut) this.onEnd('closed, not reset');
      pass(END);
    });
    near.on('error', () => {
      if (this.isCut) this.onEnd('reset');
      connection.held.length = 0;
      far.destroy();
    });
    far.on('data', chunk => {
      if (!this.isCut && near.writable) near.write(chunk);
    });
    far.on('end', () => {
      if (!this.isCut && near.writable) near.end();
    });
    far.on('error', () => near.destroy());
  }
}
