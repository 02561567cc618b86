import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import fastify from 'fastify';
import {WindowedHistogram} from '@sapphireglade/runtime';
import {
  COUNTERS,
  DURATIONS,
  FailoverGapTracker,
  GAUGES,
  MetricsRegistry,
  registerMetricsRoutes,
} from '../../src/index.js';

const RUNS = {seed: 7_003, numRuns: 200};
/** Relative error of two significant digits. */
const HISTOGRAM_PRECISION = 0.01;
const MINUTE_MS = 60_000;

describe('the catalogue of metrics', () => {
  const all = Object.entries({...COUNTERS, ...DURATIONS, ...GAUGES});
  for (const [name, {help}] of all) {
    it(`names and explains ${name}`, () => {
      expect(name).toMatchRegex(/^(sapphireglade|process)_[a-z_]+$/);
      expect(help).toMatchRegex(/^[A-Z].*\.$/);
    });
  }
});

describe('MetricsRegistry', () => {
  it('writes the text format that Prometheus reads', async () => {
    const metrics = new MetricsRegistry(() => 0);
    const labels = {group: 'ledger "1"', access: 'read', outcome: 'done'};
    metrics.increment('sapphireglade_requests_total', labels);
    metrics.increment('sapphireglade_requests_total', labels, 2);
    metrics.recordDuration('sapphireglade_failover_gap_seconds', 1_500, {
      group: 'a',
    });
    metrics.registerGauge('sapphireglade_members', () => [
      {labels: {}, value: 9},
    ]);
    const app = fastify();
    registerMetricsRoutes(app, metrics);
    const answer = await app.inject('/metrics');
    await app.close();
    expect(answer.headers['content-type']).toEqual(
      'text/plain; version=0.0.4; charset=utf-8',
    );
    const lines = answer.body.split('\n');
    expect(lines).toInclude(
      '# TYPE sapphireglade_requests_total counter',
      'sapphireglade_requests_total{group="ledger \\"1\\"",access="read",outcome="done"} 3',
      '# TYPE sapphireglade_failover_gap_seconds summary',
      'sapphireglade_failover_gap_seconds_sum{group="a"} 1.5',
      'sapphireglade_failover_gap_seconds_count{group="a"} 1',
      'sapphireglade_members 9',
    );
  });

  it('limits the label sets of a metric and counts the dropped values', () => {
    const metrics = new MetricsRegistry(() => 0);
    for (let index = 0; index < 5_010; index += 1) {
      const labels = {group: String(index)};
      metrics.increment('sapphireglade_forwards_total', labels);
    }
    const name = 'sapphireglade_metric_series_dropped_total';
    expect(metrics.counter(name, {})).toEqual(10);
  });
});

describe('WindowedHistogram', () => {
  it('returns quantiles within one percent of the exact values', () => {
    const values = fc.array(fc.integer({min: 1, max: 60_000}), {minLength: 1});
    fc.assert(
      fc.property(values, durations => {
        const histogram = new WindowedHistogram(0);
        for (const duration of durations) histogram.record(duration, 0);
        const sorted = [...durations].sort((left, right) => left - right);
        for (const quantile of [0.5, 0.99, 1]) {
          const [estimate] = histogram.quantilesMs([quantile], 0);
          const exact = sorted[Math.ceil(quantile * sorted.length) - 1]!;
          const error = Math.abs(estimate! - exact) / exact;
          expect(error).toBeLessThanOrEqual(HISTOGRAM_PRECISION);
        }
      }),
      RUNS,
    );
  });

  it('drops old values from the quantiles but keeps their count', () => {
    const histogram = new WindowedHistogram(0);
    histogram.record(100, 0);
    histogram.record(1, 6 * MINUTE_MS);
    const [kept] = histogram.quantilesMs([1], 7 * MINUTE_MS);
    const [dropped] = histogram.quantilesMs([1], 12 * MINUTE_MS);
    expect([kept! > 99, dropped! < 2]).toEqual([true, true]);
    expect(histogram.count).toEqual(2);
  });
});

describe('FailoverGapTracker', () => {
  const cases = [
    {
      name: 'writes of one term',
      writes: [
        [1, 0],
        [1, 900],
      ],
      gaps: 0,
    },
    {
      name: 'a new term',
      writes: [
        [1, 0],
        [2, 900],
      ],
      gaps: 1,
    },
    {
      name: 'a late answer',
      writes: [
        [1, 0],
        [2, 9],
        [1, 9],
        [2, 9],
      ],
      gaps: 1,
    },
  ];
  for (const {name, writes, gaps} of cases) {
    it(`measures ${gaps} gaps for ${name}`, () => {
      const metrics = new MetricsRegistry(() => 0);
      const tracker = new FailoverGapTracker(metrics);
      for (const [term, atMs] of writes) {
        tracker.recordAcknowledgedWrite('ledger', term!, atMs!);
      }
      const count = /gap_seconds_count\{group="ledger"\} (\d+)/.exec(
        metrics.render(),
      );
      expect(Number(count?.[1] ?? 0)).toEqual(gaps);
    });
  }
});
