import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, it} from 'node:test';
import type {TimelineEvent} from '@sapphireglade/decisions';
import {expect} from 'earl';
import {ExitCode} from '../src/index.js';
import {FakeOperatorApi} from './support/fake-operator-api.js';
import {runTool} from './support/run-tool.js';

/** Loopback address of the second proxy; both listen on the same port. */
const SECOND_ADDRESS = '127.77.0.2';
const START_MS = Date.UTC(2026, 0, 5, 3, 12, 4);

let first: FakeOperatorApi;
let second: FakeOperatorApi;
let origin: string;

describe('timeline of two proxies', () => {
  beforeEach(async () => {
    first = new FakeOperatorApi('entry-1');
    second = new FakeOperatorApi('entry-2');
    origin = await first.listen();
    await second.listen(SECOND_ADDRESS, Number(new URL(origin).port));
    first.otherMembers = [{name: 'entry-2', address: SECOND_ADDRESS}];
    first.events = [
      eventOf('entry-1', 1, 0, 'link-opened', {peer: 'entry-2'}),
      eventOf('entry-1', 2, 40, 'request-received', {
        requestId: 'r-1',
        group: 'ledger-1',
        caller: 'desk',
        access: 'write',
        deadlineMs: 500,
      }),
      eventOf('entry-1', 9, 60, 'request-answered', {
        requestId: 'r-1',
        group: 'ledger-1',
        outcome: 'done',
        error: null,
        durationMs: 20,
      }),
    ];
    second.events = [
      eventOf('entry-2', 4, 10, 'link-closed', {
        peer: 'entry-1',
        reason: '<silent>',
      }),
      eventOf('entry-2', 1, 50, 'request-ran', {
        requestId: 'r-1',
        group: 'ledger-1',
        instance: 'a',
        term: 3,
        position: 17,
        queuedMs: 1,
        durationMs: 2,
      }),
    ];
  });
  afterEach(async () => {
    await first.close();
    await second.close();
  });

  it('is merged and shows the gaps', async () => {
    const {output, exitCode} = await runTool(origin, ['timeline']);
    expect(exitCode).toEqual(ExitCode.Success);
    expect(output.split('\n')).toEqual([
      '03:12:04.000  entry-1           The link to entry-2 opened.',
      '03:12:04.010  entry-2           GAP: 3 events of entry-2 (1 to 3, stream control) are no longer held.',
      '03:12:04.010  entry-2           The link to entry-1 closed: <silent>.',
    ]);
  });

  it('is filtered by proxy and kind', async () => {
    const byProxy = await runTool(origin, [
      'timeline',
      '--on-proxy',
      'entry-1',
    ]);
    const byKind = await runTool(origin, ['timeline', '--kind', 'link-opened']);
    expect(byProxy.output).not.toInclude('entry-2  ');
    expect(byKind.output).not.toInclude('closed');
  });

  it('shows no gap for events left out by a filter', async () => {
    const peer = 'entry-2';
    first.events = [
      eventOf('entry-1', 1, 0, 'link-opened', {peer}),
      eventOf('entry-1', 2, 1, 'link-closed', {peer, reason: 'x'}),
      eventOf('entry-1', 3, 2, 'link-opened', {peer}),
    ];
    const {output} = await runTool(
      origin,
      'timeline --kind link-opened --on-proxy entry-1'.split(' '),
    );
    expect(output).not.toInclude('GAP');
  });

  it('is written as JSON lines with sentences', async () => {
    const {output} = await runTool(origin, ['timeline', '--output', 'json']);
    const types = output
      .split('\n')
      .map(line => (JSON.parse(line) as {type: string}).type);
    expect(types).toEqual(['event', 'gap', 'event']);
  });

  it('is written as one self-contained page', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'timeline-'));
    const file = join(folder, 'page.html');
    await runTool(origin, ['timeline', '--html', file]);
    const page = readFileSync(file, 'utf8');
    rmSync(folder, {recursive: true});
    expect(page).toInclude('<th>entry-1</th><th>entry-2</th>');
    expect(page).toInclude('closed: &lt;silent&gt;.');
    expect(page).not.toMatchRegex(/src=|href=|@import/);
  });

  it('explains a request handled by both proxies', async () => {
    const {output} = await runTool(origin, ['explain', 'r-1']);
    const sources = output.split('\n').map(line => line.slice(0, 20).trim());
    expect(sources).toEqual([
      '+0 ms  entry-1:',
      '+10 ms  entry-2:',
      '+20 ms  entry-1:',
    ]);
  });

  it('names a proxy that cannot be reached', async () => {
    await second.close();
    const {output, exitCode} = await runTool(origin, ['timeline']);
    expect(exitCode).toEqual(ExitCode.Partial);
    expect(output).toInclude('NOT REACHED: entry-2');
    expect(output).toInclude('The link to entry-2 opened.');
  });
});

function eventOf(
  process: string,
  sequence: number,
  offsetMs: number,
  kind: string,
  fields: TimelineEvent['fields'],
): TimelineEvent {
  const at = {wallMs: START_MS + offsetMs, counter: 0};
  return {process, boot: 'boot', sequence, at, kind, fields};
}
