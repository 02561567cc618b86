import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {vmCapacity, ReadConsistency} from '@sapphireglade/decisions';
import {LogLevel} from '@sapphireglade/runtime';
import {expect} from 'earl';
import type {GatewaySettings, Statement} from '../../src/index.js';
import {MEMBER_PREFIX, StatementKind} from '../../src/index.js';
import type {FleetProxy} from '../support/memory-fleet.js';
import {
  CONFIGURATION_PREFIX,
  MemoryFleet,
  settingsOf,
} from '../support/memory-fleet.js';

/** Proxies of the fleet. */
const PROXIES = 4;

/** Callers at each proxy. */
const CALLERS = 3;

/** Changes of the settings in a row. */
const CHANGES = 60;

/** Pause between two changes, in milliseconds. */
const CHANGE_PAUSE_MS = 80;

/** Pause between two statements of a caller, in milliseconds. */
const STATEMENT_PAUSE_MS = 5;

/** How long it may take until a change shows, in milliseconds. */
const CHANGE_TIMEOUT_MS = 10_000;

/** Within which time a configuration has to be in force after a change, in milliseconds. */
const CONFIGURATION_WITHIN_MS = 6_000;

/** How long a watch of it may wait then, in milliseconds. */
const LONGER_WAIT_MS = 4_000;

/** How long a stop may take after a change, in seconds; long after the balancer knows of it. */
const LONG_GRACE_S = 30;

const WORK: readonly Statement[] = [
  {kind: StatementKind.Write, text: 'WRITE'},
  {kind: StatementKind.Read, text: 'READ'},
  {kind: StatementKind.Begin, isReadOnly: false},
  {kind: StatementKind.Read, text: 'READ'},
  {kind: StatementKind.Write, text: 'WRITE'},
  {kind: StatementKind.Commit, text: 'COMMIT'},
];

/** Callers at every proxy, one statement after another. */
class SteadyCallers {
  readonly failures: string[] = [];
  answered = 0;
  private isRunning = true;
  private readonly running: Promise<void>[];

  constructor(proxies: readonly FleetProxy[]) {
    this.running = proxies.flatMap(proxy =>
      Array.from({length: CALLERS}, (_, index) => this.call(proxy, index)),
    );
  }

  async stop(): Promise<void> {
    this.isRunning = false;
    await Promise.all(this.running);
  }

  private async call(proxy: FleetProxy, index: number): Promise<void> {
    const session = proxy.open(ReadConsistency.ReadYourWrites);
    for (let count = 0; this.isRunning; count += 1) {
      const requestId = `${proxy.name}/${index}/${count}`;
      const statement = WORK[count % WORK.length]!;
      const {failure} = await session.handle({requestId, statement});
      if (failure === undefined) this.answered += 1;
      else
        this.failures.push(
          `${requestId} ${statement.kind} ${failure.kind}: ${failure.detail}`,
        );
      await sleep(STATEMENT_PAUSE_MS);
    }
    session.end();
  }
}

/** Waits until something is so, or too long. */
async function settle(isSo: () => boolean): Promise<void> {
  const limitMs = performance.now() + CHANGE_TIMEOUT_MS;
  while (!isSo() && performance.now() < limitMs) await sleep(10);
}

/** Settings that differ in everything that changes while running. */
function changed(name: string, count: number): GatewaySettings {
  const factor = 1 + (count % 5);
  return {
    ...settingsOf(name),
    capacity: {
      processorShare: 1 - factor / 100,
      processorCores: factor,
      linkMbps: 1_000 * factor,
      memoryMb: 500 * factor,
    },
    store: {address: `memory:${count + 1}`},
    promotion: {address: `memory:${count + 1}`},
    configurationWithinMs: 3_000 + count,
    maximumCallers: 1 + count,
    stopGraceS: 0.1 + count / 1_000,
    logLevel: count % 2 === 0 ? LogLevel.Debug : LogLevel.Error,
  };
}

describe('a change of settings in a running fleet', () => {
  const fleet = new MemoryFleet();
  let callers: SteadyCallers;

  before(async () => {
    await fleet.start(PROXIES);
    callers = new SteadyCallers(fleet.proxies);
    await sleep(1_000);
  });

  after(async () => {
    await callers.stop();
    await fleet.stop();
  });

  it('cuts no request, in series and on all proxies at once', async () => {
    const before = callers.answered;
    for (let count = 1; count <= CHANGES; count += 1) {
      for (const {name, settings} of fleet.proxies) {
        settings.apply(changed(name, count));
      }
      await sleep(CHANGE_PAUSE_MS);
    }
    expect(callers.answered > before).toEqual(true);
    expect(callers.failures).toEqual([]);
  });

  it('limits the callers at the door', () => {
    const limits = fleet.proxies.map(({door}) => door.limitedTo);
    expect(limits).toEqual(fleet.proxies.map(() => 1 + CHANGES));
  });

  it('tells the other proxies what each can carry, and cuts no request', async () => {
    for (const [index, {name, settings}] of fleet.proxies.entries()) {
      settings.apply(changed(name, index));
    }
    const told = (): unknown[] =>
      fleet.proxies.map(({name}) => {
        const item = fleet.store.items.get(MEMBER_PREFIX + name);
        return item && JSON.parse(item.value.toString()).capacity;
      });
    const due = fleet.proxies.map(({settings}) =>
      vmCapacity(settings.current.capacity),
    );
    await settle(() => told().join() === due.join());
    expect(told()).toEqual(due);
    // Long enough for groups to move to the proxies that carry most.
    await sleep(1_500);
    expect(callers.failures).toEqual([]);
  });

  it('lets a watch of the configuration wait as the new bound allows', async () => {
    // It carries most, so it owns the group and watches the store itself.
    const {settings, store} = fleet.proxies.at(-1)!;
    const waitMs = (): unknown =>
      store.watchWaitMsByPrefix.get(CONFIGURATION_PREFIX);
    settings.apply({
      ...settings.current,
      configurationWithinMs: CONFIGURATION_WITHIN_MS,
    });
    await settle(() => waitMs() === LONGER_WAIT_MS);
    expect(waitMs()).toEqual(LONGER_WAIT_MS);
  });

  it('gives the callers of a stopping proxy the new grace time', async () => {
    await callers.stop();
    const {door, settings, gateway} = fleet.proxies[0]!;
    settings.apply({...settings.current, stopGraceS: LONG_GRACE_S});
    door.openConnections = 1;
    const stopped = gateway.stop();
    await settle(() => door.events.length > 0);
    await sleep(200);
    door.events.push('the caller ends its transaction');
    door.openConnections = 0;
    await stopped;
    expect(door.events).toEqual([
      'drain',
      'the caller ends its transaction',
      'end transactions',
    ]);
  });
});
