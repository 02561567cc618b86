import {after, before, describe, it} from 'node:test';
import {HEAD_KEY} from '@sapphireglade/decisions';
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

const RACING_ROUNDS = 50;
const KEY = `group/${GROUP}`;

describe('configuration over processes', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await Fleet.start({deployment: smallDeployment()});
  });
  after(() => fleet.stop());

  it('is in force in every zone after an acceptance', async () => {
    const [first = '', , , , , last = ''] = fleet.vms;
    const revision = await changeAllowedAge(fleet, first, 1_234);
    await waitUntilInForce(fleet, last, revision);
    const {body} = await operatorOf(fleet, last).read(KEY);
    expect(body.change?.by).toEqual('operator-1');
    expect(body.change?.reason).toEqual('a test');
  });

  it('lets one of two racing operators win, 50 times', async () => {
    const [first = '', , third = ''] = fleet.vms;
    const rivals = [operatorOf(fleet, first), operatorOf(fleet, third)];
    let {version, revision, resource} = (await rivals[0]!.read(KEY)).body;
    for (let round = 0; round < RACING_ROUNDS; round += 1) {
      const answers = await Promise.all(
        rivals.map((rival, index) =>
          rival.put(KEY, version, {
            ...resource,
            allowedAgeMs: 2_000 + 2 * round + index,
          }),
        ),
      );
      const statuses = answers.map(({status}) => status).sort();
      const failures = answers
        .filter(({status}) => status !== 200 && status !== 409)
        .map(({error}) => error);
      expect({statuses, failures}).toEqual({
        statuses: [200, 409],
        failures: [],
      });
      const loser = answers.find(({status}) => status === 409);
      expect(loser?.error?.versions).toEqual({
        expected: version,
        current: version + 1,
      });
      const winner = answers.find(({status}) => status === 200)?.body;
      expect(winner?.revision).toEqual(revision + 1);
      version = winner?.version ?? 0;
      revision = winner?.revision ?? 0;
      resource = winner?.resource ?? resource;
    }
    // The loser of the last round may still be one revision behind.
    await waitUntilInForce(fleet, first, revision);
    for (const rival of rivals) {
      const {body} = await rival.read(KEY);
      expect(body.version).toEqual(version);
      expect(body.revision).toEqual(revision);
    }
  });

  it('accepts a change once when the answers of its swaps are lost', async () => {
    const [first = ''] = fleet.vms;
    const operator = operatorOf(fleet, first);
    const before = (await operator.read(KEY)).body;
    const path = '/compare-and-swap';
    // The first swap of a change writes its body; the head is swapped after it.
    await fleet.storeControl.setFaults({
      faults: [
        {kind: 'drop-answer', path, count: 2},
        {kind: 'drop-answer', path, key: HEAD_KEY, count: 1},
      ],
    });
    const revision = await changeAllowedAge(fleet, first, 5_001);
    expect(await fleet.storeControl.get('/faults')).toEqual({
      down: false,
      faults: [],
    });
    const current = (await operator.read(KEY)).body;
    expect(current.version).toEqual(before.version + 1);
    expect(revision).toEqual(before.revision + 1);
    await waitUntilInForce(fleet, first, revision);
    const settled = (await operator.read(KEY)).body;
    expect(settled.version).toEqual(before.version + 1);
    expect(settled.revision).toEqual(before.revision + 1);
  });

  it('spreads past a delegate that is paused, and never reverts', async () => {
    const [first = ''] = fleet.vms;
    const {zones} = await operatorOf(fleet, first).status();
    const zone = zones.find(({delegate}) => delegate !== first);
    const paused = zone?.delegate ?? '';
    const others = fleet.vms.filter(vm => vm !== paused);
    const from = others[0] ?? '';
    fleet.process(paused).signal('SIGSTOP');
    const revision = await changeAllowedAge(fleet, from, 6_001);
    await waitUntilApplied(fleet, others, revision);
    await waitUntil(
      'the zone of the paused proxy is unconfirmed',
      async () => {
        const status = await operatorOf(fleet, from).status();
        const found = status.zones.find(({zone: name}) => name === zone?.zone);
        return found?.unconfirmedSince !== null;
      },
      SETTLING_TIMEOUT_MS,
    );
    const next = await changeAllowedAge(fleet, from, 6_002);
    fleet.process(paused).signal('SIGCONT');
    await waitUntilInForce(fleet, from, next);
  });

  it('reaches proxies that restart while the store is down', async () => {
    const [first = '', second = ''] = fleet.vms;
    const {revision} = await operatorOf(fleet, first).status();
    const half = fleet.vms.filter((_vm, index) => index % 2 === 1);
    await fleet.storeControl.setFaults({down: true});
    await Promise.all(half.map(vm => fleet.process(vm).kill()));
    for (const vm of half) fleet.process(vm).start();
    await Promise.all(half.map(vm => fleet.waitUntilReady(vm)));
    await waitUntilApplied(fleet, half, revision);
    const refused = await operatorOf(fleet, second).put(KEY, 1, {});
    expect(refused.status).toEqual(400);
    const answer = await fleet.client(second).run({
      group: GROUP,
      sql: 'SELECT * FROM bookings',
      parameters: [],
      access: 'read',
      deadlineMs: 10_000,
    });
    const {error} = answer.answer;
    expect({status: answer.status, error}).toEqual({
      status: 200,
      error: undefined,
    });
    await fleet.storeControl.setFaults({down: false});
    const next = await changeAllowedAge(fleet, second, 7_001);
    await waitUntilInForce(fleet, first, next);
  });
});
