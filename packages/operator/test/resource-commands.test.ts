import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {ExitCode} from '../src/index.js';
import {FakeOperatorApi} from './support/fake-operator-api.js';
import {runTool} from './support/run-tool.js';

const GROUP = {
  kind: 'group',
  name: 'ledger-1',
  allowedAgeMs: 1_000,
  instances: ['a', 'b'].map(name => ({
    name,
    zone: `zone-${name}`,
    address: '10.0.0.1',
    port: 5_432,
    slots: 3,
    connectionLimit: 20,
    state: 'active',
  })),
};

let api: FakeOperatorApi;
let origin: string;

describe('sapphireglade-operator', () => {
  beforeEach(async () => {
    api = new FakeOperatorApi();
    origin = await api.listen();
  });
  afterEach(() => api.close());

  describe('apply', () => {
    it('shows in a dry run what would change without changing it', async () => {
      const result = await apply(GROUP, '--dry-run');
      expect(result.exitCode).toEqual(ExitCode.Success);
      expect(result.output).toInclude('Dry run: group/ledger-1 created');
      expect(result.output).toInclude('+ instances.0.zone: "zone-a"');
      expect(api.revision).toEqual(0);
    });

    it('creates, then changes only what differs', async () => {
      await apply(GROUP);
      const result = await apply({...GROUP, allowedAgeMs: 500});
      expect(result.output.split('\n')).toEqual([
        'group/ledger-1 changed (version 2, revision 2).',
        '  - allowedAgeMs: 1000',
        '  + allowedAgeMs: 500',
      ]);
    });

    it('creates no new version of an unchanged resource', async () => {
      await apply(GROUP);
      const result = await apply(GROUP);
      expect(result.output).toInclude('unchanged');
      expect(api.revision).toEqual(1);
    });

    it('applies several resources and sends the reason', async () => {
      const other = {...GROUP, name: 'ledger-2'};
      await apply({resources: [GROUP, other]}, '--reason', 'new depot');
      expect([...api.resources.keys()]).toEqual([
        'group/ledger-1',
        'group/ledger-2',
      ]);
      expect(api.reasons.at(-1)).toEqual('new depot');
    });

    it('does not overwrite a concurrent change of another operator', async () => {
      await apply(GROUP);
      api.beforeChange = () => {
        const entry = api.resources.get('group/ledger-1')!;
        api.resources.set('group/ledger-1', {...entry, version: 7});
      };
      const result = await apply({...GROUP, allowedAgeMs: 500});
      expect(result.exitCode).toEqual(ExitCode.Conflict);
      expect(result.errors).toInclude('version 1; version 7 is in force');
      expect(result.errors).toInclude('Next: Read the resource');
    });

    it('waits until the change is in force in every zone', async () => {
      const result = await apply(GROUP, '--wait');
      expect(result.output).toInclude('Revision 1 is in force in every zone');
    });

    it('names the zones where a change is not in force in time', async () => {
      api.secondZoneRevision = 0;
      const result = await apply(GROUP, '--wait', '--timeout', '0');
      expect(result.exitCode).toEqual(ExitCode.TimedOut);
      expect(result.errors).toInclude('not known to be in force in zone-b');
    });
  });

  describe('drain', () => {
    const cases = [
      {options: [], state: 'leaving'},
      {options: ['--stop'], state: 'stopping'},
      {options: ['--undo'], state: 'active'},
    ];
    for (const {options, state} of cases) {
      it(`sets the state of an instance to ${state} with "${options.join(' ')}"`, async () => {
        const instances = GROUP.instances.map(instance => ({
          ...instance,
          state: state === 'active' ? 'leaving' : 'active',
        }));
        await apply({...GROUP, instances});
        await runTool(origin, ['drain', 'ledger-1/b', ...options]);
        const {resource} = api.resources.get('group/ledger-1')!;
        const found = resource.kind === 'group' ? resource.instances : [];
        expect(found[1]?.state).toEqual(state as 'active');
        expect(found[0]?.state === state).toEqual(false);
      });
    }
  });

  describe('failures', () => {
    const cases = [
      {command: ['get', 'group/none'], exitCode: ExitCode.NotFound},
      {command: ['delete', 'group/none'], exitCode: ExitCode.NotFound},
      {command: ['drain', 'ledger-1'], exitCode: ExitCode.Usage},
      {command: ['promote', 'none/a'], exitCode: ExitCode.NotFound},
      {command: ['apply', '/no/such/file'], exitCode: ExitCode.Usage},
      {command: ['timeline', '--kind', 'x-y'], exitCode: ExitCode.Usage},
      {command: ['explain', 'r-0'], exitCode: ExitCode.NotFound},
      {
        command: ['delete', 'group/ledger-1', '--reason', 'نیا'],
        exitCode: ExitCode.Usage,
      },
    ];
    for (const {command, exitCode} of cases) {
      it(`prints a hint after "${command.join(' ')}"`, async () => {
        await apply(GROUP);
        const result = await runTool(origin, command);
        expect(result.exitCode).toEqual(exitCode);
        expect(result.errors).toMatchRegex(/^Error: .+\nNext: .+$/s);
      });
    }

    it('distinguishes a wrong key from a proxy that does not respond', async () => {
      const wrongKey = await runTool(origin, ['status'], '', 'wrong');
      const unreachable = await runTool('http://127.0.0.1:1', ['status']);
      expect(wrongKey.exitCode).toEqual(ExitCode.Unauthenticated);
      expect(unreachable.exitCode).toEqual(ExitCode.Unavailable);
    });

    for (const command of [['nonsense'], ['watch', '--timeout', 'x']]) {
      it(`refuses "${command.join(' ')}" as wrong usage`, async () => {
        const result = await runTool(origin, command);
        expect(result.exitCode).toEqual(ExitCode.Usage);
      });
    }
  });

  describe('output for programs', () => {
    it('is one JSON document', async () => {
      await apply(GROUP);
      const list = await runTool(origin, ['get', '--output', 'json']);
      const parsed = JSON.parse(list.output) as {resources: unknown[]};
      expect(parsed.resources.length).toEqual(1);
    });
  });
});

function apply(
  body: unknown,
  ...options: string[]
): ReturnType<typeof runTool> {
  return runTool(origin, ['apply', '-', ...options], JSON.stringify(body));
}
