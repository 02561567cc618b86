import {after, before, describe, it} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import type {GroupResource} from '@sapphireglade/decisions';
import type {Outcome} from '@sapphireglade/decisions';
import {
  checkHistory,
  collectInstanceHistories,
  Fleet,
  HistoryRecorder,
  waitUntil,
} from '@sapphireglade/stand-ins';
import {expect} from 'earl';
import {
  GROUP,
  operatorOf,
  SETTLING_TIMEOUT_MS,
  smallDeployment,
  waitUntilInForce,
} from './control-fleet.js';

/** Time after which a leaving instance gets no new work, in milliseconds. */
const LEAVING_GRACE_MS = 2_000;
const ROUNDS = 20;
const KEY = `group/${GROUP}`;

describe('an instance that is leaving', () => {
  const recorder = new HistoryRecorder();
  let fleet: Fleet;
  let bookings = 0;

  before(async () => {
    fleet = await Fleet.start({deployment: smallDeployment()});
  });
  after(() => fleet.stop());

  for (const role of ['replica', 'primary'] as const) {
    it(`gets no new work where it is a ${role}, and others serve`, async () => {
      const leaving = await instanceWithRole(role);
      const statuses = [await work()];
      expect(await statementsOf(leaving)).toBeGreaterThan(0);
      await declareLeaving(leaving);
      await delay(LEAVING_GRACE_MS);
      const countBefore = await statementsOf(leaving);
      statuses.push(await work());
      expect(await statementsOf(leaving)).toEqual(countBefore);
      expect(statuses.flat().filter(outcome => outcome !== 'done')).toEqual([]);
    });
  }

  it('loses and doubles no booking', async () => {
    const instances = await collectInstanceHistories(fleet);
    const {writes, reads} = recorder;
    expect(checkHistory({writes, reads, instances})).toEqual([]);
  });

  /** Books and reads through all proxies in sequential rounds. */
  async function work(): Promise<Outcome[]> {
    const outcomes: Outcome[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      const answers = fleet.vms.flatMap(vm => [book(vm), read(vm)]);
      outcomes.push(...(await Promise.all(answers)));
    }
    return outcomes;
  }

  async function book(vm: string): Promise<Outcome> {
    bookings += 1;
    const options = {group: GROUP, key: `leaving-${bookings}`};
    return (await recorder.book(fleet.client(vm), options)).outcome;
  }

  async function read(vm: string): Promise<Outcome> {
    const {answer} = await fleet.client(vm).run({
      group: GROUP,
      sql: 'SELECT COUNT(*) FROM bookings',
      parameters: [],
      access: 'read',
      allowedAgeMs: 60_000,
    });
    return answer.outcome;
  }

  async function statementsOf(instance: string): Promise<number> {
    const control = fleet.instanceControl(GROUP, instance);
    return ((await control.get('/statements')) as {count: number}).count;
  }

  async function instanceWithRole(role: string): Promise<string> {
    const active = (await groupOf()).instances
      .filter(({state}) => state === 'active')
      .map(({name}) => name);
    const instances = await collectInstanceHistories(fleet);
    const found = instances.find(
      each => each.role === role && active.includes(each.instance),
    );
    if (found === undefined) throw new Error(`No active ${role}.`);
    return found.instance;
  }

  async function groupOf(): Promise<GroupResource> {
    const [vm = ''] = fleet.vms;
    const {body} = await operatorOf(fleet, vm).read(KEY);
    return body.resource as GroupResource;
  }

  /** Sets an instance to leaving and waits until it is not primary. */
  async function declareLeaving(instance: string): Promise<void> {
    const [vm = ''] = fleet.vms;
    const operator = operatorOf(fleet, vm);
    const {version} = (await operator.read(KEY)).body;
    const group = await groupOf();
    const instances = group.instances.map(each =>
      each.name === instance ? {...each, state: 'leaving' as const} : each,
    );
    const answer = await operator.put(KEY, version, {...group, instances});
    await waitUntilInForce(fleet, vm, answer.body.revision);
    await waitUntil(
      `${instance} is no longer primary`,
      async () => {
        const all = await collectInstanceHistories(fleet);
        const found = all.find(each => each.instance === instance);
        return found?.role !== 'primary';
      },
      SETTLING_TIMEOUT_MS,
    );
  }
});
