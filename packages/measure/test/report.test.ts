import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Figure, Measurement} from '../src/index.js';
import {
  BoundRelation,
  isWithinBound,
  LatencyRecorder,
  measurementSchema,
  formatHtmlReport,
} from '../src/index.js';

function figure(value: number, relation: BoundRelation, bound: number): Figure {
  return {name: 'f', value, unit: 'ms', bound: {relation, value: bound}};
}

function measurement(value: number): Measurement {
  return measurementSchema.parse({
    experiment: 'failover-kill',
    deployment: 'lahore',
    seed: 1,
    command: 'sapphireglade-measure failover-kill --seed 1',
    startedAt: '2000-01-01T00:00:00.000Z',
    machineLoad: 1,
    processors: 4,
    notes: ['<script>never run</script>'],
    figures: [
      {
        name: 'gap, maximum',
        value,
        unit: 'ms',
        bound: {relation: 'at most', value: 8_000},
      },
    ],
    series: [
      {
        name: 'Gap by round',
        xLabel: 'round',
        yLabel: 'ms',
        points: [[1, value]],
      },
    ],
  });
}

describe('isWithinBound', () => {
  const cases: ReadonlyArray<{given: Figure; kept: boolean | undefined}> = [
    {given: figure(8, BoundRelation.AtMost, 8), kept: true},
    {given: figure(9, BoundRelation.AtMost, 8), kept: false},
    {given: figure(95, BoundRelation.AtLeast, 95), kept: true},
    {given: figure(94, BoundRelation.AtLeast, 95), kept: false},
    {given: {name: 'f', value: 1, unit: ''}, kept: undefined},
  ];
  for (const {given, kept} of cases) {
    it(`is ${kept} for ${given.value} ${given.bound?.relation ?? ''}`, () => {
      expect(isWithinBound(given)).toEqual(kept);
    });
  }
});

describe('formatHtmlReport', () => {
  it('shows two runs and the bound, and marks figures that miss it', () => {
    const page = formatHtmlReport(measurement(9_000), measurement(500));
    expect(page).toInclude('<span class="missed">9000 ms</span>');
    expect(page).toInclude('<span class="kept">500 ms</span>');
    expect(page).toInclude('<td>at most 8000</td>');
  });

  it('is self-contained and escapes notes', () => {
    const page = formatHtmlReport(measurement(1));
    expect(page).not.toInclude('<script');
    expect(page).not.toInclude('http');
  });
});

describe('LatencyRecorder', () => {
  it('returns percentiles in milliseconds', () => {
    const recorder = new LatencyRecorder();
    for (let time = 1; time <= 100; time += 1) recorder.record(time);
    const {count, p50Ms, maximumMs} = recorder.summary();
    expect(count).toEqual(100);
    expect(Math.round(p50Ms)).toEqual(50);
    expect(Math.round(maximumMs)).toEqual(100);
  });
});
