import type {Server} from 'node:net';
import {createServer} from 'node:net';

/** Port whose listener reserves a loopback network while it is open. */
const RESERVATION_PORT = 8_079;

/** Lowest second part, and number of second parts, of the networks in use. */
const FIRST_NETWORK = 64;
const NETWORK_COUNT = 180;

/** Offset of the third part of the IP address for published addresses. */
const PUBLISHED_OFFSET = 100;

/** Offset of the third part of the IP address for callers. */
const CALLERS_OFFSET = 50;

/** Loopback network 127.N.0.0/16 reserved for one fleet. */
export class LoopbackNetwork {
  private constructor(
    private readonly network: number,
    private readonly reservation: Server,
  ) {}

  /** Reserves a network that no other fleet on this machine uses. */
  static async reserve(): Promise<LoopbackNetwork> {
    for (let attempt = 0; attempt < NETWORK_COUNT; attempt += 1) {
      const network = FIRST_NETWORK + ((process.pid + attempt) % NETWORK_COUNT);
      const reservation = await tryListen(`127.${network}.0.1`);
      if (reservation !== undefined) {
        return new LoopbackNetwork(network, reservation);
      }
    }
    throw new Error('No loopback network is free.');
  }

  /** Releases the reservation. */
  release(): void {
    this.reservation.close();
  }

  /** Returns the IP address on which a process of a zone listens. */
  address(zone: number, host: number): string {
    return `127.${this.network}.${zone}.${host}`;
  }

  /** Returns the IP address at which the relay publishes that process. */
  publishedAddress(zone: number, host: number): string {
    return this.address(PUBLISHED_OFFSET + zone, host);
  }

  /** Returns the IP address from which a caller of a zone connects. */
  callerAddress(zone: number, host: number): string {
    return this.address(CALLERS_OFFSET + zone, host);
  }
}

async function tryListen(address: string): Promise<Server | undefined> {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(undefined));
    server.listen(RESERVATION_PORT, address, () => {
      server.unref();
      resolve(server);
    });
  });
}
