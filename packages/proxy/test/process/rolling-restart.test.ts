import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {CallerClient} from '@sapphireglade/stand-ins';
import {Fleet} from '@sapphireglade/stand-ins';
import {expect} from 'earl';
import {GROUP, smallDeployment} from './control-fleet.js';

const CALLERS = 6;
const PAUSE_MS = 20;

/** Interval between readiness checks of the balancer, in milliseconds. */
const BALANCER_INTERVAL_MS = 50;

/** Maximum number of attempts per booking. */
const MAXIMUM_TRIES = 20;

/** A booking that a caller attempted. */
interface Booking {
  readonly id: string;
  readonly outcome: string;
}

describe('a rolling restart of every proxy under load', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await Fleet.start({deployment: smallDeployment()});
  });
  after(() => fleet.stop());

  it('fails no request and loses no booking', async () => {
    const balancer = new Balancer(fleet);
    const load = new Load(balancer);
    const running = Array.from({length: CALLERS}, (_, caller) =>
      load.run(caller),
    );
    for (const vm of fleet.vms) {
      await fleet.process(vm).terminate();
      fleet.process(vm).start();
      await fleet.waitUntilReady(vm);
    }
    load.stop();
    balancer.stop();
    const bookings = (await Promise.all(running)).flat();
    const failed = bookings.filter(({outcome}) => outcome !== 'done');
    expect(failed).toEqual([]);
    expect(bookings.length).toBeGreaterThan(CALLERS);
    const found = await readAll(balancer.choose(0));
    expect(found).toEqual(bookings.map(({id}) => id).sort());
  });
});

/** Chooses only ready proxies, like the load balancer of the platform. */
class Balancer {
  private readonly clients = new Map<string, CallerClient>();
  private ready: string[];
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly fleet: Fleet) {
    this.ready = fleet.vms;
    for (const vm of fleet.vms) this.clients.set(vm, fleet.client(vm));
    this.timer = setInterval(() => void this.ask(), BALANCER_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  choose(index: number): CallerClient {
    const vm = this.ready[index % this.ready.length] ?? '';
    return this.clients.get(vm)!;
  }

  private async ask(): Promise<void> {
    const answers = await Promise.all(
      this.fleet.vms.map(async vm => ({vm, isReady: await this.isReady(vm)})),
    );
    this.ready = answers.filter(({isReady}) => isReady).map(({vm}) => vm);
  }

  private async isReady(vm: string): Promise<boolean> {
    const origin = this.fleet.proxyOrigin(vm, 'caller');
    const answer = await fetch(`${origin}/readyz`).catch(() => undefined);
    return answer?.ok === true;
  }
}

/** Callers that book continuously and retry what did not run. */
class Load {
  private isStopped = false;

  constructor(private readonly balancer: Balancer) {}

  stop(): void {
    this.isStopped = true;
  }

  /** Books repeatedly until the load is stopped. */
  async run(caller: number): Promise<Booking[]> {
    const bookings: Booking[] = [];
    while (!this.isStopped) {
      const id = `caller-${caller}-${bookings.length}`;
      bookings.push({id, outcome: await this.book(caller, id)});
      await sleep(PAUSE_MS);
    }
    return bookings;
  }

  /** Retries on the next proxy only if the booking certainly did not run. */
  private async book(caller: number, id: string): Promise<string> {
    for (let attempt = 0; attempt < MAXIMUM_TRIES; attempt += 1) {
      const client = this.balancer.choose(caller + attempt);
      const outcome = await bookOnce(client, id);
      if (outcome !== 'not run') return outcome;
      await sleep(PAUSE_MS);
    }
    return 'not run';
  }
}

async function bookOnce(client: CallerClient, id: string): Promise<string> {
  try {
    const {answer} = await client.run({
      group: GROUP,
      sql: 'INSERT INTO bookings (id, stand) VALUES (?, ?)',
      parameters: [id, 'steel stand'],
      access: 'write',
    });
    if (answer.outcome === 'done' || answer.outcome === 'not run') {
      return answer.outcome;
    }
    return `${answer.outcome}: ${answer.error?.message}`;
  } catch (error) {
    const {code} = error as {code?: string};
    return code === 'ECONNREFUSED' ? 'not run' : `no answer: ${code}`;
  }
}

async function readAll(client: CallerClient): Promise<string[]> {
  const {answer} = await client.run({
    group: GROUP,
    sql: 'SELECT * FROM bookings',
    parameters: [],
    access: 'read',
    allowedAgeMs: 0,
  });
  expect(answer.error).toEqual(undefined);
  return answer.rows.map(({id}) => String(id)).sort();
}
