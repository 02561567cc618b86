import type {MetricDefinition} from './definitions.js';

/** Labels of a series, by name. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Media type of the text format. */
export const PROMETHEUS_MEDIA_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** Separates the label values in a key; it is replaced in values. */
const KEY_SEPARATOR = '\u0000';

/** Replaces the separator in label values. */
const REPLACEMENT_CHARACTER = '\ufffd';

/**
 * Builds the key of a series from its label values.
 *
 * @param names - The labels of the metric.
 * @param labels - A value for each of them.
 */
export function createSeriesKey(
  names: readonly string[],
  labels: MetricLabels,
): string {
  if (names.length === 0) return '';
  let key = toKeyPart(labels[names[0]!]);
  for (let index = 1; index < names.length; index += 1) {
    key += KEY_SEPARATOR + toKeyPart(labels[names[index]!]);
  }
  return key;
}

/**
 * Formats the labels of a series.
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

/** Formats the `HELP` and `TYPE` lines of a metric. */
export function formatFamilyHeader(
  name: string,
  {help, type}: MetricDefinition,
): string[] {
  return [`# HELP ${name} ${help}`, `# TYPE ${name} ${type}`];
}

/** Formats one sample; `labels` is the result of {@link formatLabels}. */
export function formatSample(
  name: string,
  labels: string,
  value: number,
): string {
  const series = labels === '' ? name : `${name}{${labels}}`;
  return `${series} ${value}`;
}

/** Returns a label value without the separator, so that each value keeps its place. */
function toKeyPart(value = ''): string {
  return value.includes(KEY_SEPARATOR)
    ? value.replaceAll(KEY_SEPARATOR, REPLACEMENT_CHARACTER)
    : value;
}

/** Escapes the characters that the text format does not allow in a label value. */
function escapeLabel(value: string): string {
  return value
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}
