import {after, before, describe, it} from 'node:test';
import type {
  CallerResponseError,
  ZoneConfigurationStatus,
} from '@sapphireglade/protocol';
import {Fleet, waitUntil} from '@sapphireglade/stand-ins';
import {expect} from 'earl';
import {
  changeAllowedAge,
  GROUP,
  SETTLING_TIMEOUT_MS,
  operatorOf,
  smallDeployment,
  waitUntilApplied,
  waitUntilInForce,
} from './control-fleet.js';

const PARTITIONED_ZONE = 'khi-depot';
const OLD_ENOUGH_MS = 600_000;

/**
 * Timeout for the other zones to report a partitioned zone as unconfirmed, in
 * milliseconds: six seconds without messages and some exchanges.
 */
const SHOWN_TIMEOUT_MS = 10_000;

/** Specified rate limit of the platform's store, in calls per second. */
const STORE_CALLS_A_SECOND = 300;

describe('an availability zone that is cut off', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await Fleet.start({
      deployment: smallDeployment(),
      usesRelay: true,
    });
    await waitUntilInForce(fleet, fleet.vms[0] ?? '', 1);
  });
  after(() => fleet.stop());

  it('serves, is shown as unconfirmed, and rejoins quietly', async () => {
    const zoneOf = new Map(fleet.plan.vms.map(vm => [vm.name, vm.zone]));
    const inside = fleet.vms.filter(vm => zoneOf.get(vm) === PARTITIONED_ZONE);
    const outside = fleet.vms.filter(vm => zoneOf.get(vm) !== PARTITIONED_ZONE);
    const [from = ''] = outside;
    // Shares come from the store: a zone without shares cannot serve requests.
    for (const vm of inside) await expectRead(fleet, vm);
    await partitionZone(fleet);
    const revision = await changeAllowedAge(fleet, from, 1_111);
    await waitUntilApplied(fleet, outside, revision);
    await expectUnconfirmed(fleet, from);
    for (const vm of inside) await expectRead(fleet, vm);

    await fleet.relayControl.put('/conditions', {});
    const reconnectedAtMs = performance.now();
    const before = await storeCalls(fleet);
    await waitUntilInForce(fleet, from, revision);
    const seconds = Math.ceil((performance.now() - reconnectedAtMs) / 1_000);
    const calls = (await storeCalls(fleet)) - before;
    expect(calls < seconds * STORE_CALLS_A_SECOND).toEqual(true);
  });
});

/** Expects a proxy outside to report the zone as unconfirmed at revision 1. */
async function expectUnconfirmed(fleet: Fleet, vm: string): Promise<void> {
  let status: ZoneConfigurationStatus | undefined;
  try {
    await waitUntil(
      'the other zones report the zone as unconfirmed',
      async () => {
        status = await zoneAt(fleet, vm);
        return status?.unconfirmedSince !== null && status?.revision === 1;
      },
      SHOWN_TIMEOUT_MS,
    );
  } catch (error) {
    const {message} = error as Error;
    throw new Error(`${message} ${JSON.stringify(status)}`, {cause: error});
  }
}

/** Drops all traffic between the zone and the others, in both directions. */
async function partitionZone(fleet: Fleet): Promise<void> {
  const others = fleet.plan.deployment.zones
    .map(({name}) => name)
    .filter(name => name !== PARTITIONED_ZONE);
  const faults = others.flatMap(other => [
    {kind: 'silent', from: PARTITIONED_ZONE, to: other},
    {kind: 'silent', from: other, to: PARTITIONED_ZONE},
  ]);
  await fleet.relayControl.put('/conditions', {faults});
}

async function zoneAt(
  fleet: Fleet,
  vm: string,
): Promise<ZoneConfigurationStatus | undefined> {
  const {zones} = await operatorOf(fleet, vm).status();
  return zones.find(({zone}) => zone === PARTITIONED_ZONE);
}

/** Expects a proxy in the zone to serve a read of old data. */
async function expectRead(fleet: Fleet, vm: string): Promise<void> {
  let lastError: CallerResponseError | undefined;
  await waitUntil(
    `${vm} serves a read of old data`,
    async () => {
      const {answer} = await fleet.client(vm).run({
        group: GROUP,
        sql: 'SELECT * FROM bookings',
        parameters: [],
        access: 'read',
        allowedAgeMs: OLD_ENOUGH_MS,
      });
      lastError = answer.error;
      return answer.outcome === 'done';
    },
    SETTLING_TIMEOUT_MS,
  ).catch((cause: Error) => {
    const reason = lastError?.message ?? 'no answer';
    throw new Error(`${cause.message} ${reason}`, {cause});
  });
}

async function storeCalls(fleet: Fleet): Promise<number> {
  const {byPath} = (await fleet.storeControl.get('/calls')) as {
    byPath: Record<string, number>;
  };
  return Object.values(byPath).reduce((sum, calls) => sum + calls, 0);
}
