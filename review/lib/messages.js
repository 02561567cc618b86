/** Messages of the line protocol, for clients and instances. */
import {Buffer} from 'node:buffer';

/** Splits a byte stream into messages that end with CR LF. */
export class MessageReader {
  constructor() {
    this.chunks = [];
  }

  push(chunk) {
    this.chunks.push(chunk);
    if (!chunk.includes(10)) return [];
    const parts = Buffer.concat(this.chunks).toString('latin1').split('\r\n');
    this.chunks = [Buffer.from(parts.pop(), 'latin1')];
    return parts;
  }
}

/** Splits a message into fields; the last one extends to its end. */
export function splitFields(line, count) {
  const fields = [];
  let rest = line;
  while (fields.length < count - 1) {
    const space = rest.indexOf(' ');
    if (space < 0) break;
    fields.push(rest.slice(0, space));
    rest = rest.slice(space + 1);
  }
  return [...fields, rest];
}
