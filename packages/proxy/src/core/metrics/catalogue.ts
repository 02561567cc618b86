import type {LabelsOf} from '@sapphireglade/runtime';
import {
  defineCounter,
  defineGauge,
  defineSummary,
} from '@sapphireglade/runtime';

/** Catalogue of all counters. */
export const COUNTERS = {
  sapphireglade_requests_total: defineCounter(
    'Requests that callers sent to this proxy, by group, access and outcome.',
    ['group', 'access', 'outcome'],
  ),
  sapphireglade_errors_total: defineCounter(
    'Requests that were not answered "done", by group and error kind.',
    ['group', 'kind'],
  ),
  sapphireglade_reads_total: defineCounter(
    'Reads answered "done" by this proxy, by group and the role that served them.',
    ['group', 'role'],
  ),
  sapphireglade_forwards_total: defineCounter(
    'Requests that this proxy sent to an owner on another VM, by group.',
    ['group'],
  ),
  sapphireglade_retries_total: defineCounter(
    'Requests sent again within their deadline, by group and reason.',
    ['group', 'reason'],
  ),
  sapphireglade_hedges_total: defineCounter(
    'Reads sent to a second instance while the first had not answered, by group.',
    ['group'],
  ),
  sapphireglade_late_answers_total: defineCounter(
    'Answers that came after their request had ended, and were dropped.',
  ),
  sapphireglade_refusals_total: defineCounter(
    'Requests refused before they ran, by group and error kind.',
    ['group', 'kind'],
  ),
  sapphireglade_store_calls_total: defineCounter(
    "Calls to the platform's store, by operation and result.",
    ['operation', 'result'],
  ),
  sapphireglade_metric_series_dropped_total: defineCounter(
    'Values not counted because a metric had too many label sets.',
  ),
} as const;

/** Catalogue of all duration summaries. */
export const DURATIONS = {
  sapphireglade_request_duration_seconds: defineSummary(
    'Time from a request of a caller to its answer, by group and access.',
    ['group', 'access'],
  ),
  sapphireglade_queue_duration_seconds: defineSummary(
    'Time that requests waited for a slot of an instance, by group and instance.',
    ['group', 'instance'],
  ),
  sapphireglade_upstream_duration_seconds: defineSummary(
    'Time that statements took on an instance, by group and instance.',
    ['group', 'instance'],
  ),
  sapphireglade_confirmation_duration_seconds: defineSummary(
    'Time from the run of a write to its confirmation by a majority, by group.',
    ['group'],
  ),
  sapphireglade_failover_gap_seconds: defineSummary(
    'Time from the last acknowledged write of one term to the first of the next at this proxy, by group.',
    ['group'],
  ),
} as const;

/** Catalogue of all gauges. */
export const GAUGES = {
  sapphireglade_replica_read_share: defineGauge(
    'Share of the reads answered by this proxy that replicas served, by group, from 0 to 1.',
    ['group'],
  ),
  sapphireglade_configuration_revision: defineGauge(
    'Revision of the configuration in force at this proxy.',
  ),
  sapphireglade_members: defineGauge('Entry VMs that this proxy knows of.'),
  sapphireglade_group_term: defineGauge('Term of each group, as known here.', [
    'group',
  ]),
  sapphireglade_timeline_bytes: defineGauge(
    'Memory of the time line of this proxy, by stream, estimated.',
    ['stream'],
  ),
  sapphireglade_ready: defineGauge(
    'Whether this proxy takes requests: 1 or 0.',
  ),
  process_cpu_seconds_total: defineGauge(
    'Processor time of this process, user and system.',
  ),
  process_resident_memory_bytes: defineGauge(
    'Resident memory of this process.',
  ),
  process_start_time_seconds: defineGauge(
    'When this process started, in seconds since 1970.',
  ),
} as const;

/** Name of a counter. */
export type CounterName = keyof typeof COUNTERS;
/** Name of a duration. */
export type DurationName = keyof typeof DURATIONS;
/** Name of a gauge. */
export type GaugeName = keyof typeof GAUGES;

/** Labels of a counter, all required. */
export type CounterLabels<Name extends CounterName> = LabelsOf<
  (typeof COUNTERS)[Name]
>;
/** Labels of a duration, all required. */
export type DurationLabels<Name extends DurationName> = LabelsOf<
  (typeof DURATIONS)[Name]
>;
/** Labels of a gauge, all required. */
export type GaugeLabels<Name extends GaugeName> = LabelsOf<
  (typeof GAUGES)[Name]
>;
