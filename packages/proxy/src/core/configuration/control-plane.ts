import type {ZoneConfigurationStatus} from '@sapphireglade/protocol';
import type {SupervisedTask} from '@sapphireglade/runtime';
import type {Subscription} from 'rxjs';
import type {ProxyContext} from '../context/index.js';
import {VmListPoller} from '../membership/index.js';
import type {MembershipTracker} from '../membership/index.js';
import type {PeerDispatcher, PeerLinks} from '../peers/index.js';
import type {PlatformStore} from '../store/index.js';
import type {VmDirectory} from '../vm-list/index.js';
import type {LatestConfiguration} from './latest-configuration.js';
import {DelegateElection} from './delegate-election.js';
import {StoreConfigurationReader} from './store-configuration-reader.js';
import {PeerConfigurationSync} from './peer-configuration-sync.js';
import {StoreWatcher} from './store-watcher.js';
import {ZoneReporter} from './zone-reporter.js';
import {ZoneReports} from './zone-reports.js';

/** Dependencies of the control plane. */
export interface ControlPlaneDependencies {
  readonly store: PlatformStore;
  readonly directory: VmDirectory;
  readonly holder: LatestConfiguration;
  readonly members: MembershipTracker;
  readonly links: PeerLinks;
  readonly dispatcher: PeerDispatcher;
}

/** Creates and connects the tasks for configuration and membership. */
export class ControlPlane {
  /** The tasks, in start order. */
  readonly tasks: readonly SupervisedTask[];
  private readonly zones: ZoneReports;
  private readonly configurationReader: StoreConfigurationReader;
  private readonly reporter: ZoneReporter;
  private readonly subscriptions: Subscription[];

  /**
   * @param context - The shared state of this process.
   * @param dependencies - Dependencies of the control plane.
   */
  constructor(
    context: ProxyContext,
    private readonly dependencies: ControlPlaneDependencies,
  ) {
    const {store, directory, holder, members, links} = dependencies;
    const {zone, vm} = context.settings;
    this.zones = new ZoneReports(zone, vm, context.clock);
    this.configurationReader = new StoreConfigurationReader(store, holder);
    const election = new DelegateElection(context, store, members);
    const configurationSync = new PeerConfigurationSync(holder, links);
    const {zones} = this;
    this.reporter = new ZoneReporter(context, {
      holder,
      members,
      election,
      configurationSync,
      zones,
      links,
    });
    this.tasks = [
      new VmListPoller(context, directory, members, () =>
        this.reporter.shouldReadVmList(),
      ),
      election,
      new StoreWatcher(context, election, this.configurationReader, holder),
      this.reporter,
    ];
    this.subscriptions = this.listen(configurationSync);
  }

  /** Reads the store immediately, after this proxy accepted a change. */
  async refresh(): Promise<void> {
    await this.configurationReader.readOnce().catch(() => undefined);
  }

  /** Returns the configuration status of every zone. */
  async inForce(): Promise<ZoneConfigurationStatus[]> {
    await this.reporter.refreshZones();
    const sizes = this.dependencies.members.countVmsByZone();
    return this.zones.describeZones(sizes, performance.now());
  }

  /** Notifies the other proxies that this one is stopping. */
  announceStop(): void {
    this.dependencies.links.notifyAll({type: 'member-stopping'});
  }

  /** Cancels the subscriptions to links. */
  close(): void {
    for (const subscription of this.subscriptions) subscription.unsubscribe();
  }

  private listen(configurationSync: PeerConfigurationSync): Subscription[] {
    const {dispatcher, members, links} = this.dependencies;
    dispatcher.register(['configuration-report'], async (request, peer) => {
      if (request.type !== 'configuration-report') return undefined;
      return this.reporter.answer(request, peer);
    });
    dispatcher.register(['configuration-pull'], async request => {
      if (request.type !== 'configuration-pull') return undefined;
      return configurationSync.answer(request);
    });
    return [
      dispatcher.notifications$.subscribe(({notice, peer}) => {
        const {process: name, boot} = peer;
        if (notice.type === 'configuration-offer') {
          this.reporter.pullIfNewer(name, notice.revision);
        }
        if (notice.type === 'member-stopping') {
          members.applyEvent({type: 'peer-stopping', name, boot});
        }
      }),
      links.contacts$.subscribe(({peer, boot}) => {
        if (boot === undefined)
          members.applyEvent({type: 'peer-failed', name: peer});
        else members.applyEvent({type: 'peer-heard', name: peer, boot});
      }),
    ];
  }
}
