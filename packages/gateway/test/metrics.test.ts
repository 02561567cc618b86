import {describe, it} from 'node:test';
import {expect} from 'earl';
import {GatewayMetrics} from '../src/index.js';

describe('GatewayMetrics', () => {
  it('writes counters and quantiles with their labels', () => {
    const metrics = new GatewayMetrics(() => 0);
    metrics.increment('sapphireglade_requests_total', {
      statement: 'read',
      outcome: 'done',
    });
    metrics.recordDuration('sapphireglade_request_duration_seconds', 20, {
      statement: 'read',
    });
    const text = metrics.render();
    const lines = [
      'sapphireglade_requests_total{statement="read",outcome="done"} 1',
      'sapphireglade_request_duration_seconds_count{statement="read"} 1',
      '# TYPE sapphireglade_request_duration_seconds summary',
    ];
    for (const line of lines) expect(text.includes(line)).toEqual(true);
  });

  it('counts values that are dropped because a metric has too many label sets', () => {
    const metrics = new GatewayMetrics(() => 0);
    for (let index = 0; index < 5_003; index += 1) {
      metrics.increment('sapphireglade_errors_total', {kind: String(index)});
    }
    expect(
      metrics.counter('sapphireglade_metric_series_dropped_total', {}),
    ).toEqual(3);
  });
});
