import type {MetricDefinition} from './definitions.js';

/** Labels of a series, by name. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Media type of the text format. */
export const PROMETHEUS_MEDIA_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** Stands between the values of labels in a key; no value contains it. */
const KEY_SEPARATOR = '\u0000';

/**
 * Joins the values of labels to the key of a series.
 *
 * @param names - The labels of the metric.
 * @param labels - A value for each of them.
 */
export function createSeriesKey(
  names: readonly string[],
  labels: MetricLabels,
): string {
  if (names.length === 0) return '';
  let key = labels[names[0]!] ?? '';
  for (let index = 1; index < names.length; index += 1) {
    key += KEY_SEPARATOR + (labels[names[index]!] ?? '');
  }
  return key;
}

/**
 * Writes the labels of a series.
 *
 * @param names - The labels of the metric.
 * @param key - From {@link createSeriesKey}.
 * @returns For example `group="ledger-1",access="read"`; empty without labels.
 */
export function formatLabels(names: readonly string[], key: string): string {
  const values = key.split(KEY_SEPARATOR);
  return names
    .map((name, index) => `${name}="${escapeLabel(values[index] ?? '')}"`)
    .join(',');
}

/** Writes the lines that introduce a metric. */
export function formatFamilyHeader(
  name: string,
  {help, type}: MetricDefinition,
): string[] {
  return [`# HELP ${name} ${help}`, `# TYPE ${name} ${type}`];
}

/** Writes one value; `labels` come from {@link formatLabels}. */
export function formatSample(
  name: string,
  labels: string,
  value: number,
): string {
  const series = labels === '' ? name : `${name}{${labels}}`;
  return `${series} ${value}`;
}

/** Escapes what the text format does not allow in a label's value. */
function escapeLabel(value: string): string {
  return value
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}
