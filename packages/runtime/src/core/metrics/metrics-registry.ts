import type {LabelsOf, MetricDefinition} from './definitions.js';
import type {MetricLabels} from './prometheus-text.js';
import {
  formatFamilyHeader,
  formatLabels,
  formatSample,
  createSeriesKey,
} from './prometheus-text.js';
import {WindowedHistogram} from './windowed-histogram.js';

/** Most series of one metric; values of further label sets are dropped. */
const MAXIMUM_SERIES = 5_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Quantiles of each summary. */
const QUANTILES = [0.5, 0.95, 0.99, 1] as const;

/** One value of a gauge. */
export interface GaugeSample<Labels extends MetricLabels = MetricLabels> {
  readonly labels: Labels;
  readonly value: number;
}

/** Series of one metric by the key of their label values. */
type SeriesMap<Value> = Map<string, Value>;

/** Definitions of metrics by name. */
export type MetricDefinitions = Readonly<Record<string, MetricDefinition>>;

/** The closed catalogue of a program's metrics. */
export interface MetricCatalogue<Counters, Durations, Gauges> {
  readonly counters: Counters;
  readonly durations: Durations;
  readonly gauges: Gauges;
  /** Counter of the values dropped because a metric had too many series. */
  readonly droppedSeriesCounter: keyof Counters & string;
}

/** The counters, durations and gauges of a process. */
export class TypedMetricsRegistry<
  Counters extends MetricDefinitions,
  Durations extends MetricDefinitions,
  Gauges extends MetricDefinitions,
> {
  private readonly counters = new Map<string, SeriesMap<number>>();
  private readonly durations = new Map<string, SeriesMap<WindowedHistogram>>();
  private readonly gauges = new Map<string, () => readonly GaugeSample[]>();

  /**
   * @param catalogue - The definitions of all metrics.
   * @param now - Returns the monotonic time, in milliseconds.
   */
  constructor(
    private readonly catalogue: MetricCatalogue<Counters, Durations, Gauges>,
    private readonly now: () => number = () => performance.now(),
  ) {}

  /**
   * Adds to a counter.
   *
   * @param name - Name from the catalogue.
   * @param labels - Labels of the series.
   * @param amount - The amount to add.
   */
  increment<Name extends keyof Counters & string>(
    name: Name,
    labels: LabelsOf<Counters[Name]>,
    amount = 1,
  ): void {
    const series = getOrCreateSeries(this.counters, name);
    const key = createSeriesKey(this.counterDefinition(name).labels, labels);
    const value = series.get(key);
    if (value === undefined && this.isFull(series)) return;
    series.set(key, (value ?? 0) + amount);
  }

  /**
   * Records a duration.
   *
   * @param name - Name from the catalogue.
   * @param durationMs - The duration, in milliseconds.
   * @param labels - Labels of the series.
   */
  recordDuration<Name extends keyof Durations & string>(
    name: Name,
    durationMs: number,
    labels: LabelsOf<Durations[Name]>,
  ): void {
    const series = getOrCreateSeries(this.durations, name);
    const key = createSeriesKey(this.durationDefinition(name).labels, labels);
    const nowMs = this.now();
    let histogram = series.get(key);
    if (histogram === undefined) {
      if (this.isFull(series)) return;
      histogram = new WindowedHistogram(nowMs);
      series.set(key, histogram);
    }
    histogram.record(durationMs, nowMs);
  }

  /**
   * Registers the function that reads a gauge when the metrics are rendered.
   *
   * @param name - Name from the catalogue.
   * @param read - Returns the current values.
   */
  registerGauge<Name extends keyof Gauges & string>(
    name: Name,
    read: () => ReadonlyArray<GaugeSample<LabelsOf<Gauges[Name]>>>,
  ): void {
    this.gauges.set(name, read);
  }

  /** Returns the value of a counter. */
  counter<Name extends keyof Counters & string>(
    name: Name,
    labels: LabelsOf<Counters[Name]>,
  ): number {
    const key = createSeriesKey(this.counterDefinition(name).labels, labels);
    return this.counters.get(name)?.get(key) ?? 0;
  }

  /** Renders all metrics in the Prometheus text format, version 0.0.4. */
  render(): string {
    const lines = [
      ...this.renderCounters(),
      ...this.renderDurations(),
      ...this.renderGauges(),
    ];
    return lines.join('\n') + '\n';
  }

  private renderCounters(): string[] {
    return [...this.counters].flatMap(([name, series]) => [
      ...formatFamilyHeader(name, this.counterDefinition(name)),
      ...[...series].map(([key, value]) =>
        formatSample(
          name,
          formatLabels(this.counterDefinition(name).labels, key),
          value,
        ),
      ),
    ]);
  }

  private renderDurations(): string[] {
    return [...this.durations].flatMap(([name, series]) => [
      ...formatFamilyHeader(name, this.durationDefinition(name)),
      ...[...series].flatMap(([key, histogram]) =>
        this.renderHistogram(name, key, histogram),
      ),
    ]);
  }

  private renderHistogram(
    name: string,
    key: string,
    histogram: WindowedHistogram,
  ): string[] {
    const labels = formatLabels(this.durationDefinition(name).labels, key);
    const values = histogram.quantilesMs(QUANTILES, this.now());
    const quantiles = QUANTILES.map((quantile, index) => {
      const all = [labels, `quantile="${quantile}"`].filter(Boolean).join(',');
      return formatSample(name, all, values[index]! / MILLISECONDS_PER_SECOND);
    });
    const sumSeconds = histogram.sumMs / MILLISECONDS_PER_SECOND;
    return [
      ...quantiles,
      formatSample(`${name}_sum`, labels, sumSeconds),
      formatSample(`${name}_count`, labels, histogram.count),
    ];
  }

  private renderGauges(): string[] {
    return [...this.gauges].flatMap(([name, read]) => {
      const definition: MetricDefinition = this.gaugeDefinition(name);
      const names = definition.labels;
      const samples = read().map(({labels, value}) =>
        formatSample(
          name,
          formatLabels(names, createSeriesKey(names, labels)),
          value,
        ),
      );
      return [...formatFamilyHeader(name, definition), ...samples];
    });
  }

  private counterDefinition(name: string): MetricDefinition {
    return getDefinition(this.catalogue.counters, name);
  }

  private durationDefinition(name: string): MetricDefinition {
    return getDefinition(this.catalogue.durations, name);
  }

  private gaugeDefinition(name: string): MetricDefinition {
    return getDefinition(this.catalogue.gauges, name);
  }

  /**
   * Returns whether a metric has the maximum number of series; if so, counts a
   * dropped value.
   */
  private isFull(series: ReadonlyMap<string, unknown>): boolean {
    if (series.size < MAXIMUM_SERIES) return false;
    const dropped = getOrCreateSeries(
      this.counters,
      this.catalogue.droppedSeriesCounter,
    );
    dropped.set('', (dropped.get('') ?? 0) + 1);
    return true;
  }
}

/** Returns the series map of a metric, creating it if there is none. */
function getOrCreateSeries<Name, Value>(
  families: Map<Name, SeriesMap<Value>>,
  name: Name,
): SeriesMap<Value> {
  const existing = families.get(name);
  if (existing !== undefined) return existing;
  const created: SeriesMap<Value> = new Map();
  families.set(name, created);
  return created;
}

/** Returns the definition of a metric; throws if there is none. */
function getDefinition(
  definitions: MetricDefinitions,
  name: string,
): MetricDefinition {
  const definition = definitions[name];
  if (definition === undefined)
    throw new Error(`The catalogue has no metric ${name}.`);
  return definition;
}
