import type {InstanceSettings} from '../../src/index.js';
import {DatabaseInstance, instanceSettingsSchema} from '../../src/index.js';
import {loopbackAddress} from './loopback-address.js';
import {UpstreamSocket} from './upstream-socket.js';

const PORT = 7100;
const CONTROL_PORT = 7101;

/** An instance of a test and where it listens. */
export interface TestInstance {
  readonly settings: InstanceSettings;
  readonly instance: DatabaseInstance;
}

/** Three instances in this process; the first is the primary of term 1. */
export class InstanceGroup {
  readonly members: TestInstance[];
  private readonly sockets: UpstreamSocket[] = [];

  /**
   * @param fileNumber - Number of the test file, for its addresses.
   * @param overrides - Settings of every instance.
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

  /** Where an instance is found. */
  peer(number: number): {instance: string; address: string; port: number} {
    const instance = `instance-${number}`;
    return {instance, address: this.addressOf(number), port: PORT};
  }

  /** Makes a socket to an instance that is not open yet. */
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
