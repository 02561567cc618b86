import {EventStream} from '@sapphireglade/decisions';
import type {ProxyContext} from '../context/index.js';
import type {GaugeSample} from '@sapphireglade/runtime';

/** Label type of a gauge without labels. */
type NoLabels = Readonly<Record<never, string>>;

const MICROSECONDS_PER_SECOND = 1_000_000;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Registers the gauges computed from the shared context.
 *
 * @param context - Context shared by all tasks.
 */
export function registerProcessGauges(context: ProxyContext): void {
  const {metrics, configuration, members, groupViews, events} = context;
  metrics.registerGauge('sapphireglade_configuration_revision', () =>
    singleReading(configuration.value.revision),
  );
  metrics.registerGauge('sapphireglade_members', () =>
    singleReading(members.value.length),
  );
  metrics.registerGauge('sapphireglade_group_term', () =>
    groupViews.list().map(({group, term}) => ({labels: {group}, value: term})),
  );
  metrics.registerGauge('sapphireglade_timeline_bytes', () =>
    Object.values(EventStream).map(stream => ({
      labels: {stream},
      value: events.bytes(stream),
    })),
  );
  metrics.registerGauge('sapphireglade_replica_read_share', () =>
    replicaReadShares(context),
  );
  metrics.registerGauge('process_cpu_seconds_total', () =>
    singleReading(cpuSeconds()),
  );
  metrics.registerGauge('process_resident_memory_bytes', () =>
    singleReading(process.memoryUsage.rss()),
  );
  const startSeconds = performance.timeOrigin / MILLISECONDS_PER_SECOND;
  metrics.registerGauge('process_start_time_seconds', () =>
    singleReading(startSeconds),
  );
}

/** Returns the share of reads served by replicas, for each group with reads. */
function replicaReadShares(
  context: ProxyContext,
): Array<GaugeSample<{group: string}>> {
  const {metrics, groupViews} = context;
  return groupViews.list().flatMap(({group}) => {
    const readsBy = (role: string): number =>
      metrics.counter('sapphireglade_reads_total', {group, role});
    const replica = readsBy('replica');
    const total = replica + readsBy('primary');
    return total === 0 ? [] : [{labels: {group}, value: replica / total}];
  });
}

function cpuSeconds(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_SECOND;
}

function singleReading(value: number): Array<GaugeSample<NoLabels>> {
  return [{labels: {}, value}];
}
