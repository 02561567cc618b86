import {describe, it} from 'node:test';
import type {ListedVm} from '@sapphireglade/decisions';
import type {
  AgedZoneReport,
  ConfigurationReport,
  ProcessIdentity,
} from '@sapphireglade/protocol';
import {expect} from 'earl';
import {
  LatestConfiguration,
  DelegateElection,
  MembershipTracker,
  PeerConfigurationSync,
  ZoneReporter,
  ZoneReports,
} from '../../src/index.js';
import {InMemoryStore} from '../support/in-memory-store.js';
import {createTestContext} from '../support/test-context.js';

const ZONE = 'zone-a';
const SELF = 'entry-1';
const OTHER = 'entry-2';

/** What the tested proxy applies. */
const REVISION = 1;

describe('what a proxy tells of its zone', () => {
  it('is nothing before it knows who else is in the zone', () => {
    const {ask} = createReporter();
    expect(ask()).toEqual(undefined);
  });

  it('is nothing before every proxy of the zone has reported to it', () => {
    const {members, election, ask} = createReporter();
    members.applyVmList(LIST);
    election.recordLeaseHolder(SELF);
    expect(ask()).toEqual(undefined);
  });

  it('is the lowest revision once all have reported', () => {
    const {members, election, hear, ask} = createReporter();
    members.applyVmList(LIST);
    election.recordLeaseHolder(SELF);
    hear(0);
    expect(ask()?.revision).toEqual(0);
    hear(REVISION);
    expect(ask()?.revision).toEqual(REVISION);
  });

  it('does not rest on reports from before another proxy spoke for the zone', () => {
    const {members, election, hear, ask} = createReporter();
    members.applyVmList(LIST);
    election.recordLeaseHolder(SELF);
    hear(0);
    election.recordLeaseHolder(OTHER);
    expect(ask()).toEqual(undefined);
    election.recordLeaseHolder(SELF);
    expect(ask()).toEqual(undefined);
    hear(REVISION);
    expect(ask()?.revision).toEqual(REVISION);
  });
});

const LIST: ListedVm[] = [SELF, OTHER].map(name => ({
  name,
  zone: ZONE,
  region: 'region',
  address: '127.0.0.1',
  state: 'live',
}));

/** What a test does with one proxy's reporter. */
interface TestedReporter {
  readonly members: MembershipTracker;
  readonly election: DelegateElection;
  /** The other proxy of the zone reports the revision that it applies. */
  readonly hear: (revision: number) => void;
  /** A proxy of another zone asks; gives what it is told of this zone. */
  readonly ask: () => AgedZoneReport['report'] | undefined;
}

/** A reporter at revision 1 whose links lead nowhere. */
function createReporter(): TestedReporter {
  const context = createTestContext({vm: SELF, zone: ZONE});
  const members = new MembershipTracker(context);
  const holder = new LatestConfiguration(context);
  holder.apply({from: 0, to: REVISION, isFull: true, changes: []}, 'a test');
  const election = new DelegateElection(context, new InMemoryStore(), members);
  const links = {
    request: () => Promise.reject(new Error('There is no link.')),
    notifyAll: () => undefined,
  };
  const reporter = new ZoneReporter(context, {
    holder,
    members,
    election,
    configurationSync: new PeerConfigurationSync(holder, links),
    zones: new ZoneReports(ZONE, SELF, context.clock),
    links,
  });
  return {
    members,
    election,
    hear: revision => {
      reporter.answer(
        createReport(revision, false),
        createPeerIdentity(OTHER, ZONE),
      );
    },
    ask: () => {
      const peer = createPeerIdentity('far-1', 'zone-b');
      const {zones} = reporter.answer(createReport(REVISION, true), peer);
      return zones.find(({report}) => report.zone === ZONE)?.report;
    },
  };
}

function createReport(
  revision: number,
  wantsZones: boolean,
): ConfigurationReport {
  return {
    type: 'configuration-report',
    revision,
    zones: [],
    wantsZones,
    listDigest: '',
  };
}

function createPeerIdentity(process: string, zone: string): ProcessIdentity {
  return {process, boot: `${process} began`, zone};
}
