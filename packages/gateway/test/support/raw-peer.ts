import {once} from 'node:events';
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import type {Frame, SegmentFrame} from '@sapphireglade/protocol';
import {
  encodeFrame,
  encodePayload,
  FrameKind,
  FrameReader,
  MAXIMUM_MESSAGE_BYTES,
  PROTOCOL_VERSION,
  SEGMENT_BYTES,
  SegmentPosition,
} from '@sapphireglade/protocol';
import type {ForwardedMessage} from '../../src/core/forwarding/messages.js';

/** Time that a request states for its answer, in milliseconds. */
const AMPLE_MS = 20_000;

/** A peer that decides itself when each of its bytes is sent. */
export class RawPeer {
  /** Bodies of the responses by correlation, as far as they have arrived. */
  readonly responses = new Map<number, unknown>();
  private readonly reader = new FrameReader();

  private constructor(readonly socket: Socket) {
    socket.on('error', () => undefined);
    socket.on('data', chunk => this.receive(chunk));
  }

  /**
   * Opens a link.
   *
   * @param address - Address of a proxy, as HOST:PORT.
   */
  static async open(address: string): Promise<RawPeer> {
    const [host = '', port = ''] = address.split(':');
    const peer = new RawPeer(connect({host, port: Number(port)}));
    await once(peer.socket, 'connect');
    peer.send({
      kind: FrameKind.Hello,
      clock: {wallMs: Date.now(), counter: 0},
      version: PROTOCOL_VERSION,
      maximumMessageBytes: MAXIMUM_MESSAGE_BYTES,
      process: 'raw',
      boot: 'raw-1',
      zone: 'zone-0',
    });
    return peer;
  }

  /** Sends a request in one frame. */
  request(correlation: number, body: ForwardedMessage): void {
    this.send(requestFrame(correlation, body));
  }

  /**
   * Sends a request in segments except for the last one.
   *
   * @returns Sends the last segment.
   */
  beginRequest(correlation: number, body: ForwardedMessage): () => void {
    const payload = encodePayload(requestFrame(correlation, body));
    let start = 0;
    for (; payload.length - start > SEGMENT_BYTES; start += SEGMENT_BYTES) {
      const data = payload.subarray(start, start + SEGMENT_BYTES);
      this.send({kind: FrameKind.Segment, position: 'inner', data});
    }
    const data = payload.subarray(start);
    const position = SegmentPosition.Last;
    return () => this.send({kind: FrameKind.Segment, position, data});
  }

  /** Waits until a request was answered. */
  async response(correlation: number): Promise<unknown> {
    while (!this.responses.has(correlation)) await once(this.socket, 'data');
    return this.responses.get(correlation);
  }

  private send(frame: Frame | SegmentFrame): void {
    this.socket.write(encodeFrame(frame));
  }

  private receive(chunk: Buffer): void {
    for (const frame of this.reader.push(chunk)) {
      if (frame.kind !== FrameKind.Response) continue;
      this.responses.set(frame.correlation, frame.body);
    }
  }
}

function requestFrame(correlation: number, body: ForwardedMessage): Frame {
  const clock = {wallMs: Date.now(), counter: 0};
  const deadlineMs = AMPLE_MS;
  return {kind: FrameKind.Request, clock, correlation, deadlineMs, body};
}
