import process from 'node:process';
import type {GaugeSample} from '@sapphireglade/runtime';
import type {LatestConfiguration} from '../configuration/index.js';
import type {InstanceDirectory} from '../directory/index.js';
import type {GroupRegistry} from '../groups/index.js';
import type {InstancePool} from '../pool/index.js';
import {readClocks} from '../time/index.js';
import type {GatewayMetrics} from './gateway-metrics.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Sources from which the gauges are read. */
export interface GaugeSources {
  readonly groups: GroupRegistry;
  readonly configuration: LatestConfiguration;
  readonly directory: InstanceDirectory;
  readonly isReady: () => boolean;
  readonly isStoreReachable: () => boolean;
  readonly storeGeneration: () => number;
  readonly sessions: () => number;
  readonly members: () => number;
  readonly openLinks: () => number;
}

/** Registers the gauges, which are read when metrics are rendered. */
export function registerGatewayGauges(
  metrics: GatewayMetrics,
  sources: GaugeSources,
): void {
  const {groups, configuration, directory} = sources;
  metrics.registerGauge('sapphireglade_ready', () =>
    singleReading(sources.isReady()),
  );
  metrics.registerGauge('sapphireglade_sessions', () =>
    singleReading(sources.sessions()),
  );
  metrics.registerGauge('sapphireglade_members', () =>
    singleReading(sources.members()),
  );
  metrics.registerGauge('sapphireglade_owner_links', () =>
    singleReading(sources.openLinks()),
  );
  metrics.registerGauge('sapphireglade_store_reachable', () =>
    singleReading(sources.isStoreReachable()),
  );
  metrics.registerGauge('sapphireglade_store_generation', () =>
    singleReading(sources.storeGeneration()),
  );
  metrics.registerGauge('sapphireglade_configuration_version', () =>
    singleReading(configuration.current?.version ?? 0),
  );
  metrics.registerGauge('process_resident_memory_bytes', () =>
    singleReading(process.memoryUsage.rss()),
  );
  metrics.registerGauge('sapphireglade_group_term', () =>
    [...groups.all].map(({name, record}) => ({
      labels: {group: name},
      value: record?.record.term ?? 0,
    })),
  );
  metrics.registerGauge('sapphireglade_view_age_seconds', () =>
    groups.owned.map(({name, viewFreshness}) => ({
      labels: {group: name},
      value: viewFreshness.ageMs(readClocks()) / MILLISECONDS_PER_SECOND,
    })),
  );
  metrics.registerGauge('sapphireglade_directory_age_seconds', () =>
    Number.isFinite(directory.ageMs)
      ? singleReading(directory.ageMs / MILLISECONDS_PER_SECOND)
      : [],
  );
  metrics.registerGauge('sapphireglade_connections', () =>
    readEachPool(groups, pool => pool.connections),
  );
  metrics.registerGauge('sapphireglade_connection_share', () =>
    readEachPool(groups, pool => pool.connectionShare),
  );
  metrics.registerGauge('sapphireglade_waiting_requests', () =>
    readEachPool(groups, pool => pool.queueLength),
  );
}

/** Returns the sample of a gauge without labels. */
function singleReading(
  value: number | boolean,
): GaugeSample<Record<never, string>>[] {
  return [{labels: {}, value: Number(value)}];
}

/** Returns one sample per instance. */
function readEachPool(
  groups: GroupRegistry,
  read: (pool: InstancePool) => number,
): GaugeSample<{group: string; instance: string}>[] {
  return [...groups.all].flatMap(({name, members}) =>
    [...members].map(([instance, {pool}]) => ({
      labels: {group: name, instance},
      value: read(pool),
    })),
  );
}
