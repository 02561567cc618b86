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

/** Revision that the tested proxy applies. */
const REVISION = 1;

describe('the zone report of a proxy', () => {
  it('is absent before the proxy knows the members of its zone', () => {
    const {requestZoneReport} = createReporter();
    expect(requestZoneReport()).toEqual(undefined);
  });

  it('is absent until every proxy of the zone has reported to it', () => {
    const {members, election, requestZoneReport} = createReporter();
    members.applyVmList(LIST);
    election.recordLeaseHolder(SELF);
    expect(requestZoneReport()).toEqual(undefined);
  });

  it('is the lowest revision once all have reported', () => {
    const {members, election, reportRevision, requestZoneReport} =
      createReporter();
    members.applyVmList(LIST);
    election.recordLeaseHolder(SELF);
    reportRevision(0);
    expect(requestZoneReport()?.revision).toEqual(0);
    reportRevision(REVISION);
    expect(requestZoneReport()?.revision).toEqual(REVISION);
  });

  it('ignores reports from before another proxy was the delegate', () => {
    const {members, election, reportRevision, requestZoneReport} =
      createReporter();
    members.applyVmList(LIST);
    election.recordLeaseHolder(SELF);
    reportRevision(0);
    election.recordLeaseHolder(OTHER);
    expect(requestZoneReport()).toEqual(undefined);
    election.recordLeaseHolder(SELF);
    expect(requestZoneReport()).toEqual(undefined);
    reportRevision(REVISION);
    expect(requestZoneReport()?.revision).toEqual(REVISION);
  });
});

const LIST: ListedVm[] = [SELF, OTHER].map(name => ({
  name,
  zone: ZONE,
  region: 'region',
  address: '127.0.0.1',
  state: 'live',
}));

/** The reporter of one proxy, with the operations of a test. */
interface TestedReporter {
  readonly members: MembershipTracker;
  readonly election: DelegateElection;
  /** Sends a report of the other proxy of the zone, with its revision. */
  readonly reportRevision: (revision: number) => void;
  /**
   * Sends a request of a proxy in another zone; returns the report of this
   * zone.
   */
  readonly requestZoneReport: () => AgedZoneReport['report'] | undefined;
}

/** Creates a reporter at revision 1 on whose links every request fails. */
function createReporter(): TestedReporter {
  const context = createTestContext({vm: SELF, zone: ZONE});
  const members = new MembershipTracker(context);
  const holder = new LatestConfiguration(context);
  holder.apply({from: 0, to: REVISION, isFull: true, changes: []}, 'a test');
  const election = new DelegateElection(context, new InMemoryStore(), members);
  const links = {
    request: () => Promise.reject(new Error('No link is open.')),
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
    reportRevision: revision => {
      reporter.answer(
        createReport(revision, false),
        createPeerIdentity(OTHER, ZONE),
      );
    },
    requestZoneReport: () => {
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
