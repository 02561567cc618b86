import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  DrainPhase,
  vmCapacity,
  ReadConsistency,
} from '@sapphireglade/decisions';
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

/** Number of proxies of the fleet. */
const PROXIES = 4;

/** Number of callers at each proxy. */
const CALLERS = 3;

/** Number of consecutive changes of the settings. */
const CHANGES = 60;

/** Delay between two changes, in milliseconds. */
const CHANGE_PAUSE_MS = 80;

/** Delay between two statements of a caller, in milliseconds. */
const STATEMENT_PAUSE_MS = 5;

/** Maximum time until a change takes effect, in milliseconds. */
const CHANGE_TIMEOUT_MS = 10_000;

/** Maximum time until a changed configuration is applied, in milliseconds. */
const CONFIGURATION_WITHIN_MS = 6_000;

/**
 * Expected wait of a watch of the configuration after the change, in
 * milliseconds.
 */
const LONGER_WAIT_MS = 4_900;

/** Longest age of the configuration when its next watch begins, in milliseconds. */
const MAXIMUM_AGE_MS = 400;

/**
 * Grace period of a stop after the change, in seconds; long after the load
 * balancer has noticed the stop.
 */
const LONG_GRACE_S = 30;

const STATEMENTS: readonly Statement[] = [
  {kind: StatementKind.Write, text: 'WRITE'},
  {kind: StatementKind.Read, text: 'READ'},
  {kind: StatementKind.Begin, isReadOnly: false},
  {kind: StatementKind.Read, text: 'READ'},
  {kind: StatementKind.Write, text: 'WRITE'},
  {kind: StatementKind.Commit, text: 'COMMIT'},
];

/**
 * Runs callers at every proxy, each of which sends one statement after another.
 */
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
      const statement = STATEMENTS[count % STATEMENTS.length]!;
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

/** Waits until a condition holds, or until the time limit. */
async function waitUntil(condition: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + CHANGE_TIMEOUT_MS;
  while (!condition() && performance.now() < deadlineMs) await sleep(10);
}

/** Returns settings that differ in every field that may change at run time. */
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

  it('fails no request, when repeated on all proxies at once', async () => {
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

  it('limits the number of callers of each proxy', () => {
    const limits = fleet.proxies.map(
      ({callerServer}) => callerServer.limitedTo,
    );
    expect(limits).toEqual(fleet.proxies.map(() => 1 + CHANGES));
  });

  it('publishes the capacity of each proxy, and fails no request', async () => {
    for (const [index, {name, settings}] of fleet.proxies.entries()) {
      settings.apply(changed(name, index));
    }
    const publishedCapacities = (): unknown[] =>
      fleet.proxies.map(({name}) => {
        const item = fleet.store.items.get(MEMBER_PREFIX + name);
        return item && JSON.parse(item.value.toString()).capacity;
      });
    const expectedCapacities = fleet.proxies.map(({settings}) =>
      vmCapacity(settings.current.capacity),
    );
    await waitUntil(
      () => publishedCapacities().join() === expectedCapacities.join(),
    );
    expect(publishedCapacities()).toEqual(expectedCapacities);
    // Long enough for groups to move to the proxies of the highest capacity.
    await sleep(1_500);
    expect(callers.failures).toEqual([]);
  });

  it('extends the wait of a configuration watch to the new limit', async () => {
    // This proxy has the highest capacity, so it owns the group and watches the
    // store itself.
    const {settings, store} = fleet.proxies.at(-1)!;
    const waitMs = (): unknown =>
      store.watchWaitMsByPrefix.get(CONFIGURATION_PREFIX);
    settings.apply({
      ...settings.current,
      configurationWithinMs: CONFIGURATION_WITHIN_MS,
    });
    // The wait is shorter by the age that the content has when the watch begins.
    const isExtended = (): boolean =>
      Number(waitMs()) <= LONGER_WAIT_MS &&
      Number(waitMs()) > LONGER_WAIT_MS - MAXIMUM_AGE_MS;
    await waitUntil(isExtended);
    expect(isExtended()).toEqual(true);
  });

  it('gives the callers of a stopping proxy the new grace period', async () => {
    await callers.stop();
    const {callerServer, settings, gateway} = fleet.proxies[0]!;
    settings.apply({...settings.current, stopGraceS: LONG_GRACE_S});
    callerServer.openConnections = 1;
    const stopped = gateway.stop();
    await waitUntil(() => callerServer.events.length > 0);
    await sleep(200);
    callerServer.events.push('the caller ends its transaction');
    callerServer.openConnections = 0;
    await stopped;
    expect(callerServer.events).toEqual([
      DrainPhase.ClosingIdle,
      'the caller ends its transaction',
      DrainPhase.Finishing,
      DrainPhase.Abandoning,
    ]);
  });
});
