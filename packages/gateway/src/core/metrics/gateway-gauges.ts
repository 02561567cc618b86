import process from 'node:process';
import type {GaugeReading} from '@sapphireglade/runtime';
import type {ConfigurationHolder} from '../configuration/index.js';
import type {GroupRegistry} from '../groups/index.js';
import type {InstancePool} from '../pool/index.js';
import {readClocks} from '../time/index.js';
import type {GatewayMetrics} from './gateway-metrics.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** What the gauges are read from. */
export interface GaugeSources {
  readonly groups: GroupRegistry;
  readonly configuration: ConfigurationHolder;
  readonly isReady: () => boolean;
  readonly isStoreReachable: () => boolean;
  readonly sessions: () => number;
  readonly members: () => number;
  readonly openLinks: () => number;
}

/** Sets the gauges that are read when metrics are asked for. */
export function setGatewayGauges(
  metrics: GatewayMetrics,
  sources: GaugeSources,
): void {
  const {groups, configuration} = sources;
  metrics.setGauge('sapphireglade_ready', () => one(sources.isReady()));
  metrics.setGauge('sapphireglade_sessions', () => one(sources.sessions()));
  metrics.setGauge('sapphireglade_members', () => one(sources.members()));
  metrics.setGauge('sapphireglade_owner_links', () => one(sources.openLinks()));
  metrics.setGauge('sapphireglade_store_reachable', () =>
    one(sources.isStoreReachable()),
  );
  metrics.setGauge('sapphireglade_configuration_version', () =>
    one(configuration.current?.version ?? 0),
  );
  metrics.setGauge('process_resident_memory_bytes', () =>
    one(process.memoryUsage.rss()),
  );
  metrics.setGauge('sapphireglade_group_term', () =>
    [...groups.all].map(({name, record}) => ({
      labels: {group: name},
      value: record?.record.term ?? 0,
    })),
  );
  metrics.setGauge('sapphireglade_view_age_seconds', () =>
    groups.owned.map(({name, confirmation}) => ({
      labels: {group: name},
      value: confirmation.ageMs(readClocks()) / MILLISECONDS_PER_SECOND,
    })),
  );
  metrics.setGauge('sapphireglade_connections', () =>
    eachPool(groups, pool => pool.connections),
  );
  metrics.setGauge('sapphireglade_connection_share', () =>
    eachPool(groups, pool => pool.connectionShare),
  );
  metrics.setGauge('sapphireglade_waiting_requests', () =>
    eachPool(groups, pool => pool.queued),
  );
}

/** A gauge with one value and no labels. */
function one(value: number | boolean): GaugeReading<Record<never, string>>[] {
  return [{labels: {}, value: Number(value)}];
}

/** One value for each instance. */
function eachPool(
  groups: GroupRegistry,
  read: (pool: InstancePool) => number,
): GaugeReading<{group: string; instance: string}>[] {
  return [...groups.all].flatMap(({name, members}) =>
    [...members].map(([instance, {pool}]) => ({
      labels: {group: name, instance},
      value: read(pool),
    })),
  );
}
