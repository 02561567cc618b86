import type {ZoneInForce} from '@sapphireglade/protocol';
import type {TaskLifecycle} from '@sapphireglade/runtime';
import type {Subscription} from 'rxjs';
import type {ProxyContext} from '../context/index.js';
import {ListPoller} from '../membership/index.js';
import type {MembershipHolder} from '../membership/index.js';
import type {PeerDispatcher, PeerLinks} from '../peers/index.js';
import type {PlatformStore} from '../store/index.js';
import type {VmDirectory} from '../vm-list/index.js';
import type {ConfigurationHolder} from './configuration-holder.js';
import {DelegateElection} from './delegate-election.js';
import {HeadReader} from './head-reader.js';
import {PeerLearner} from './peer-learner.js';
import {StoreFollower} from './store-follower.js';
import {ZoneReporter} from './zone-reporter.js';
import {ZoneTable} from './zone-table.js';

/** What the control plane works with. */
export interface ControlPlaneParts {
  readonly store: PlatformStore;
  readonly directory: VmDirectory;
  readonly holder: ConfigurationHolder;
  readonly members: MembershipHolder;
  readonly links: PeerLinks;
  readonly dispatcher: PeerDispatcher;
}

/** The tasks that follow configuration and membership, wired together. */
export class ControlPlane {
  /** The tasks, in the order of their start. */
  readonly tasks: readonly TaskLifecycle[];
  private readonly zones: ZoneTable;
  private readonly reader: HeadReader;
  private readonly reporter: ZoneReporter;
  private readonly subscriptions: Subscription[];

  /**
   * @param context - What every task may use.
   * @param parts - What the control plane works with.
   */
  constructor(
    context: ProxyContext,
    private readonly parts: ControlPlaneParts,
  ) {
    const {store, directory, holder, members, links} = parts;
    const {zone, vm} = context.settings;
    this.zones = new ZoneTable(zone, vm, context.clock);
    this.reader = new HeadReader(store, holder);
    const election = new DelegateElection(context, store, members);
    const learner = new PeerLearner(holder, links);
    const {zones} = this;
    this.reporter = new ZoneReporter(context, {
      holder,
      members,
      election,
      learner,
      zones,
      links,
    });
    this.tasks = [
      new ListPoller(context, directory, members, () =>
        this.reporter.needsOwnList(),
      ),
      election,
      new StoreFollower(context, election, this.reader, holder),
      this.reporter,
    ];
    this.subscriptions = this.listen(learner);
  }

  /** Reads the store at once, after a change was accepted through this proxy. */
  async refresh(): Promise<void> {
    await this.reader.readOnce().catch(() => undefined);
  }

  /** What is in force in every zone. */
  async inForce(): Promise<ZoneInForce[]> {
    await this.reporter.refreshZones();
    const sizes = this.parts.members.zoneSizes();
    return this.zones.describe(sizes, performance.now());
  }

  /** Tells the other proxies that this one stops. */
  announceStop(): void {
    this.parts.links.notifyAll({type: 'member-stopping'});
  }

  /** Ends the listening to links. */
  close(): void {
    for (const subscription of this.subscriptions) subscription.unsubscribe();
  }

  private listen(learner: PeerLearner): Subscription[] {
    const {dispatcher, members, links} = this.parts;
    dispatcher.register(['configuration-report'], async (request, peer) => {
      if (request.type !== 'configuration-report') return undefined;
      return this.reporter.answer(request, peer);
    });
    dispatcher.register(['configuration-pull'], async request => {
      if (request.type !== 'configuration-pull') return undefined;
      return learner.answer(request);
    });
    return [
      dispatcher.notices$.subscribe(({notice, peer}) => {
        const {process: name, boot} = peer;
        if (notice.type === 'configuration-offer') {
          this.reporter.learnFrom(name, notice.revision);
        }
        if (notice.type === 'member-stopping') {
          members.take({type: 'peer-stopping', name, boot});
        }
      }),
      links.contacts$.subscribe(({peer, boot}) => {
        if (boot === undefined) members.take({type: 'peer-failed', name: peer});
        else members.take({type: 'peer-heard', name: peer, boot});
      }),
    ];
  }
}
