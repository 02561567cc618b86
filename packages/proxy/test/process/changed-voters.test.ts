import {after, before, describe, it} from 'node:test';
import type {GroupResource} from '@sapphireglade/decisions';
import {haveSameNames} from '@sapphireglade/decisions';
import type {InstanceStatus} from '@sapphireglade/protocol';
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

const KEY = `group/${GROUP}`;

describe('a group whose declared instances change', () => {
  const recorder = new HistoryRecorder();
  let fleet: Fleet;
  let all: GroupResource;
  let bookings = 0;

  before(async () => {
    fleet = await Fleet.start({deployment: smallDeployment()});
    const {body} = await operatorOf(fleet, fleet.vms[0] ?? '').read(KEY);
    all = body.resource as GroupResource;
  });
  after(() => fleet.stop());

  it('makes the declared instances the voters of a new term', async () => {
    const {instance: primary, term} = await findPrimary();
    const removed = all.instances.find(({name}) => name !== primary)?.name;
    await declare(all.instances.filter(({name}) => name !== removed));
    await waitForVoters(all.instances.length - 1);
    expect((await findPrimary()).term).toBeGreaterThan(term);
    expect(await book()).toEqual(fleet.vms.map(() => 'done'));
    await declare(all.instances);
    await waitForVoters(all.instances.length);
    expect(await book()).toEqual(fleet.vms.map(() => 'done'));
  });

  it('loses and doubles no booking', async () => {
    const instances = await collectInstanceHistories(fleet);
    const {writes, reads} = recorder;
    expect(checkHistory({writes, reads, instances})).toEqual([]);
  });

  async function statuses(): Promise<InstanceStatus[]> {
    const answers = all.instances.map(({name}) =>
      fleet.instanceControl(GROUP, name).get('/status'),
    );
    return (await Promise.all(answers)) as InstanceStatus[];
  }

  async function findPrimary(): Promise<InstanceStatus> {
    const found = (await statuses()).find(
      ({role, term, grantedTerm}) => role === 'primary' && term === grantedTerm,
    );
    if (found === undefined) throw new Error('No instance is primary.');
    return found;
  }

  async function declare(instances: GroupResource['instances']): Promise<void> {
    const [vm = ''] = fleet.vms;
    const operator = operatorOf(fleet, vm);
    const {version} = (await operator.read(KEY)).body;
    const answer = await operator.put(KEY, version, {...all, instances});
    await waitUntilInForce(fleet, vm, answer.body.revision);
  }

  /** Waits until the declared instances are the voters of the primary's term. */
  async function waitForVoters(count: number): Promise<void> {
    const [vm = ''] = fleet.vms;
    const {body} = await operatorOf(fleet, vm).read(KEY);
    const group = body.resource as GroupResource;
    const declared = group.instances.map(({name}) => name);
    expect(declared.length).toEqual(count);
    await waitUntil(
      `${declared.join(' ')} are the voters`,
      async () => {
        const {voterSets = []} = await findPrimary();
        return haveSameNames(voterSets[0]?.instances ?? [], declared);
      },
      SETTLING_TIMEOUT_MS,
    );
  }

  /** Books through all proxies. */
  async function book(): Promise<string[]> {
    bookings += 1;
    const answers = fleet.vms.map(vm =>
      recorder.book(fleet.client(vm), {
        group: GROUP,
        key: `voters-${bookings}-${vm}`,
      }),
    );
    return (await Promise.all(answers)).map(({outcome}) => outcome);
  }
});
