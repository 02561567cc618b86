import {TypedMetricsRegistry} from '@sapphireglade/runtime';
import {COUNTERS, DURATIONS, GAUGES} from './catalogue.js';

/** Registry of the counters, durations and gauges of a proxy. */
export class MetricsRegistry extends TypedMetricsRegistry<
  typeof COUNTERS,
  typeof DURATIONS,
  typeof GAUGES
> {
  /** @param now - Returns the monotonic time, in milliseconds. */
  constructor(now?: () => number) {
    super(
      {
        counters: COUNTERS,
        durations: DURATIONS,
        gauges: GAUGES,
        droppedSeriesCounter: 'sapphireglade_metric_series_dropped_total',
      },
      now,
    );
  }
}
