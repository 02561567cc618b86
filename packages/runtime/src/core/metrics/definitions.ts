/** Types of metrics in the Prometheus text format. */
export const MetricType = {
  Counter: 'counter',
  Gauge: 'gauge',
  /** Quantiles of durations in seconds. */
  Summary: 'summary',
} as const;

/** The type of a metric. */
export type MetricType = (typeof MetricType)[keyof typeof MetricType];

/** Definition of one metric of the catalogue. */
export interface MetricDefinition<Label extends string = string> {
  readonly type: MetricType;
  /** Description of the metric, in one sentence. */
  readonly help: string;
  /** Label names, in the order of the output. */
  readonly labels: readonly Label[];
}

/** A value for each label of a metric. */
export type LabelsOf<Definition> =
  Definition extends MetricDefinition<infer Label>
    ? Readonly<Record<Label, string>>
    : never;

/** Defines a counter. */
export function defineCounter<const Label extends string = never>(
  help: string,
  labels: readonly Label[] = [],
): MetricDefinition<Label> {
  return {type: MetricType.Counter, help, labels};
}

/** Defines a summary of durations. */
export function defineSummary<const Label extends string = never>(
  help: string,
  labels: readonly Label[] = [],
): MetricDefinition<Label> {
  return {type: MetricType.Summary, help, labels};
}

/** Defines a gauge. */
export function defineGauge<const Label extends string = never>(
  help: string,
  labels: readonly Label[] = [],
): MetricDefinition<Label> {
  return {type: MetricType.Gauge, help, labels};
}
