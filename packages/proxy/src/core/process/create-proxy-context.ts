import {randomUUID} from 'node:crypto';
import {EMPTY_SNAPSHOT} from '@sapphireglade/decisions';
import {createLoggerFactory, HybridLogicalClock} from '@sapphireglade/runtime';
import {BehaviorSubject} from 'rxjs';
import type {MemberNode, ProxyContext} from '../context/index.js';
import {GroupViews} from '../groups/index.js';
import {MetricsRegistry} from '../metrics/index.js';
import {InstanceObservations} from '../observations/index.js';
import type {ProxySettings} from '../settings/index.js';
import {EventRecorder} from '../timeline/index.js';

/**
 * Creates the context shared by all tasks of the proxy.
 *
 * @param settings - The validated settings.
 */
export function createProxyContext(settings: ProxySettings): ProxyContext {
  const {vm, zone, address, region} = settings;
  const boot = randomUUID();
  const clock = new HybridLogicalClock();
  const self: MemberNode = {name: vm, zone, region, address, isLeaving: false};
  return {
    settings,
    identity: {process: vm, boot, zone},
    clock,
    logs: createLoggerFactory({...settings.logging, process: vm}),
    events: new EventRecorder(vm, boot, clock, zone),
    metrics: new MetricsRegistry(),
    configuration: new BehaviorSubject(EMPTY_SNAPSHOT),
    members: new BehaviorSubject<readonly MemberNode[]>([self]),
    groupViews: new GroupViews(),
    observations: new InstanceObservations(),
  };
}
