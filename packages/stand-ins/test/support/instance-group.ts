import type {InstanceSettings} from '../../src/index.js';
import {DatabaseInstance, instanceSettingsSchema} from '../../src/index.js';
import {loopbackAddress} from './loopback-address.js';
import {UpstreamSocket} from './upstream-socket.js';

const PORT = 7100;
const CONTROL_PORT = 7101;

/** Instance of a test with its settings. */
export interface TestInstance {
  readonly settings: InstanceSettings;
  readonly instance: DatabaseInstance;
}

/** Three in-process instances; the first is the primary of term 1. */
export class InstanceGroup {
  readonly members: TestInstance[];
  private readonly sockets: UpstreamSocket[] = [];

  /**
   * @param fileNumber - Number of the test file, part of its addresses.
   * @param overrides - Settings of all instances that replace the defaults.
   */
  constructor(
    private readonly fileNumber: number,
    overrides: Partial<InstanceSettings> = {},
  ) {
    this.members = [1, 2, 3].map(number => {
      const settings = instanceSettingsSchema.parse({
        group: 'ledger',
        instance: `instance-${number}`,
        address: this.addressOf(number),
        port: PORT,
        controlPort: CONTROL_PORT,
        connectionLimit: 20,
        openMs: 0,
        primary: number === 1 ? undefined : this.peer(1),
        ...overrides,
      });
      return {settings, instance: new DatabaseInstance(settings)};
    });
  }

  /** Starts every instance. */
  async start(): Promise<void> {
    for (const {instance} of this.members) await instance.start();
  }

  /** Closes every socket and stops every instance. */
  async stop(): Promise<void> {
    for (const socket of this.sockets) await socket.close();
    for (const {instance} of this.members) await instance.stop();
  }

  /** Returns the address of an instance. */
  peer(number: number): {instance: string; address: string; port: number} {
    const instance = `instance-${number}`;
    return {instance, address: this.addressOf(number), port: PORT};
  }

  /** Creates a socket to an instance without sending `POST /open`. */
  socket(number: number): UpstreamSocket {
    const socket = new UpstreamSocket(this.addressOf(number), PORT);
    this.sockets.push(socket);
    return socket;
  }

  /** Opens a connection to an instance. */
  async connect(number: number, client = 'test'): Promise<UpstreamSocket> {
    const socket = this.socket(number);
    await socket.post('/open', {client});
    return socket;
  }

  /** Sends a request to the control port of an instance. */
  async control(
    number: number,
    method: 'GET' | 'PUT',
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    const url = `http://${this.addressOf(number)}:${CONTROL_PORT}${path}`;
    const response = await fetch(url, {
      method,
      headers: body === undefined ? {} : {'content-type': 'application/json'},
      body: body === undefined ? null : JSON.stringify(body),
    });
    return response.json();
  }

  private addressOf(number: number): string {
    return loopbackAddress(this.fileNumber, number);
  }
}
