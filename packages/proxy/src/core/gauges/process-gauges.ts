import {EventStream} from '@sapphireglade/decisions';
import type {ProxyContext} from '../context/index.js';
import type {GaugeReading} from '@sapphireglade/runtime';

/** Labels of a gauge that has none. */
type NoLabels = Readonly<Record<never, string>>;

const MICROSECONDS_PER_SECOND = 1_000_000;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Sets the gauges that are read from what the tasks share.
 *
 * @param context - What every task may use.
 */
export function setProcessGauges(context: ProxyContext): void {
  const {metrics, configuration, members, groupViews, events} = context;
  metrics.setGauge('sapphireglade_configuration_revision', () =>
    single(configuration.value.revision),
  );
  metrics.setGauge('sapphireglade_members', () => single(members.value.length));
  metrics.setGauge('sapphireglade_group_term', () =>
    groupViews.all().map(({group, term}) => ({labels: {group}, value: term})),
  );
  metrics.setGauge('sapphireglade_timeline_bytes', () =>
    Object.values(EventStream).map(stream => ({
      labels: {stream},
      value: events.bytes(stream),
    })),
  );
  metrics.setGauge('sapphireglade_replica_read_share', () =>
    replicaReadShares(context),
  );
  metrics.setGauge('process_cpu_seconds_total', () =>
    single(processorSeconds()),
  );
  metrics.setGauge('process_resident_memory_bytes', () =>
    single(process.memoryUsage.rss()),
  );
  const startSeconds = performance.timeOrigin / MILLISECONDS_PER_SECOND;
  metrics.setGauge('process_start_time_seconds', () => single(startSeconds));
}

/** The share of reads that replicas served, for each group that had reads. */
function replicaReadShares(
  context: ProxyContext,
): Array<GaugeReading<{group: string}>> {
  const {metrics, groupViews} = context;
  return groupViews.all().flatMap(({group}) => {
    const readsBy = (role: string): number =>
      metrics.counter('sapphireglade_reads_total', {group, role});
    const replica = readsBy('replica');
    const total = replica + readsBy('primary');
    return total === 0 ? [] : [{labels: {group}, value: replica / total}];
  });
}

function processorSeconds(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_SECOND;
}

function single(value: number): Array<GaugeReading<NoLabels>> {
  return [{labels: {}, value}];
}
