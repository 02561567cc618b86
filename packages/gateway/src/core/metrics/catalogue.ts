import {
  defineCounter,
  defineGauge,
  defineSummary,
} from '@sapphireglade/runtime';

/** All counters of a gateway; there are no others. */
export const GATEWAY_COUNTERS = {
  sapphireglade_requests_total: defineCounter(
    'Requests that callers sent, by kind of statement and outcome.',
    ['statement', 'outcome'],
  ),
  sapphireglade_errors_total: defineCounter(
    'Requests that were not answered "done", by error kind.',
    ['kind'],
  ),
  sapphireglade_retries_total: defineCounter(
    'Times that an instance did not serve a statement, by error kind.',
    ['kind'],
  ),
  sapphireglade_replica_reads_total: defineCounter(
    'Reads that replicas served, by whose word made them fresh enough.',
    ['source'],
  ),
  sapphireglade_changes_of_primary_total: defineCounter(
    'Steps of changes of primary that this proxy carried out, by step.',
    ['step'],
  ),
  sapphireglade_metric_series_dropped_total: defineCounter(
    'Values not counted because a metric had too many label sets.',
  ),
} as const;

/** All duration summaries of a gateway; there are no others. */
export const GATEWAY_DURATIONS = {
  sapphireglade_request_duration_seconds: defineSummary(
    'Time from a request of a caller to its answer, by kind of statement.',
    ['statement'],
  ),
} as const;

/** All gauges of a gateway; there are no others. */
export const GATEWAY_GAUGES = {
  sapphireglade_ready: defineGauge(
    'Whether this proxy takes new callers: 1 or 0.',
  ),
  sapphireglade_sessions: defineGauge('Connections of callers that are open.'),
  sapphireglade_configuration_version: defineGauge(
    'Version of the configuration in force.',
  ),
  sapphireglade_store_reachable: defineGauge(
    'Whether the last call to the store was answered: 1 or 0.',
  ),
  sapphireglade_store_generation: defineGauge(
    'Generation of the store; rises when it is restored from a backup.',
  ),
  sapphireglade_members: defineGauge('Live proxies that the store lists.'),
  sapphireglade_owner_links: defineGauge(
    'Links to owners of groups that are open.',
  ),
  sapphireglade_group_term: defineGauge(
    'Term of the recorded primary, by group.',
    ['group'],
  ),
  sapphireglade_view_age_seconds: defineGauge(
    'Time since the view of the primary was confirmed, by group.',
    ['group'],
  ),
  sapphireglade_directory_age_seconds: defineGauge(
    'Time since the newest up-to-date response about the instances was requested.',
  ),
  sapphireglade_connections: defineGauge(
    'Connections that are open, by group and instance.',
    ['group', 'instance'],
  ),
  sapphireglade_connection_share: defineGauge(
    'Connections that this proxy may open, by group and instance.',
    ['group', 'instance'],
  ),
  sapphireglade_waiting_requests: defineGauge(
    'Requests that wait for a connection, by group and instance.',
    ['group', 'instance'],
  ),
  process_resident_memory_bytes: defineGauge(
    'Resident memory of this process.',
  ),
} as const;
