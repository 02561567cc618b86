import {after, before, describe, it} from 'node:test';
import {
  Fleet,
  FLEET_OPERATOR,
  accessKeyFor,
  loadExampleDeployment,
} from '@sapphireglade/stand-ins';
import {expect} from 'earl';
import {ExitCode} from '../src/index.js';
import type {ToolResult} from './support/run-tool.js';
import {runTool} from './support/run-tool.js';

const GROUP = 'hire-ledger';
const REQUEST_ID = 'explained-read';
const PROXY = 'rwp-depot-1';

let fleet: Fleet;

describe('sapphireglade-operator with real proxies', () => {
  before(async () => {
    fleet = await Fleet.start({deployment: loadExampleDeployment('demo')});
  });
  after(() => fleet.stop());

  it('shows every VM and the instances of a group', async () => {
    const {output, exitCode} = await run('status');
    expect(exitCode).toEqual(ExitCode.Success);
    for (const vm of fleet.vms) expect(output).toInclude(vm);
    expect(output).toInclude(`${GROUP}/ledger-a`);
  });

  it('drains an instance and waits until the change is in force', async () => {
    const drained = await run(
      'drain',
      `${GROUP}/ledger-c`,
      '--wait',
      '--reason',
      'disk change',
    );
    expect(drained.output).toInclude('+ instances.2.state: "leaving"');
    expect(drained.output).toInclude('is in force in every zone');
    const read = await run('get', `group/${GROUP}`);
    expect(read.output).toInclude(`Changed by ${FLEET_OPERATOR}`);
    expect(read.output).toInclude('disk change');
  });

  it('refuses an invalid resource and names the field', async () => {
    const body = {kind: 'group', name: 'empty', instances: []};
    const {exitCode, errors} = await runTool(
      fleet.proxyOrigin(PROXY, 'operator'),
      ['--operator', FLEET_OPERATOR, 'apply', '-'],
      JSON.stringify(body),
      accessKeyFor(FLEET_OPERATOR),
    );
    expect(exitCode).toEqual(ExitCode.Usage);
    expect(errors).toInclude('Field: instances.');
  });

  it('merges the timelines of all proxies', async () => {
    const {output, exitCode} = await run('timeline');
    expect(exitCode).toEqual(ExitCode.Success);
    for (const vm of fleet.vms) {
      expect(output).toInclude(`${vm.padEnd(16)}  The proxy started`);
    }
    expect(output).not.toInclude('GAP');
  });

  it('explains a read from its arrival to its response', async () => {
    await fleet.client(PROXY).run({
      group: GROUP,
      sql: 'SELECT * FROM bookings',
      parameters: [],
      access: 'read',
      requestId: REQUEST_ID,
    });
    const {output} = await run('explain', REQUEST_ID);
    const lines = output.split('\n');
    expect(lines[0]).toInclude(`${PROXY}: Request ${REQUEST_ID} arrived`);
    expect(output).toInclude('was routed to');
    expect(output).toInclude('was answered "done"');
  });
});

function run(...commandLine: string[]): Promise<ToolResult> {
  return runTool(
    fleet.proxyOrigin(PROXY, 'operator'),
    ['--operator', FLEET_OPERATOR, ...commandLine],
    '',
    accessKeyFor(FLEET_OPERATOR),
  );
}
