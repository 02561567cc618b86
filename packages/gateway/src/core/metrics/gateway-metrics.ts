import {TypedMetricsRegistry} from '@sapphireglade/runtime';
import {
  GATEWAY_COUNTERS,
  GATEWAY_DURATIONS,
  GATEWAY_GAUGES,
} from './catalogue.js';

/** The counters, durations and gauges of a gateway. */
export class GatewayMetrics extends TypedMetricsRegistry<
  typeof GATEWAY_COUNTERS,
  typeof GATEWAY_DURATIONS,
  typeof GATEWAY_GAUGES
> {
  /** @param now - Returns the monotonic time, in milliseconds. */
  constructor(now?: () => number) {
    super(
      {
        counters: GATEWAY_COUNTERS,
        durations: GATEWAY_DURATIONS,
        gauges: GATEWAY_GAUGES,
        droppedSeriesCounter: 'sapphireglade_metric_series_dropped_total',
      },
      now,
    );
  }
}
