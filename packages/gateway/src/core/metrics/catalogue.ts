import {counter, gauge, summary} from '@sapphireglade/runtime';

/** The closed catalogue of counters. */
export const GATEWAY_COUNTERS = {
  sapphireglade_requests_total: counter(
    'Requests that callers sent, by kind of statement and outcome.',
    ['statement', 'outcome'],
  ),
  sapphireglade_errors_total: counter(
    'Requests that were not answered "done", by error kind.',
    ['kind'],
  ),
  sapphireglade_retries_total: counter(
    'Times that an instance did not serve a statement, by error kind.',
    ['kind'],
  ),
  sapphireglade_replica_reads_total: counter(
    'Reads that replicas served, by whose word made them fresh enough.',
    ['source'],
  ),
  sapphireglade_changes_of_primary_total: counter(
    'Steps of changes of primary that this proxy carried out, by step.',
    ['step'],
  ),
  sapphireglade_metric_series_dropped_total: counter(
    'Values not counted because a metric had too many label sets.',
  ),
} as const;

/** The closed catalogue of durations. */
export const GATEWAY_DURATIONS = {
  sapphireglade_request_duration_seconds: summary(
    'Time from a request of a caller to its answer, by kind of statement.',
    ['statement'],
  ),
} as const;

/** The closed catalogue of gauges. */
export const GATEWAY_GAUGES = {
  sapphireglade_ready: gauge('Whether this proxy takes new callers: 1 or 0.'),
  sapphireglade_sessions: gauge('Connections of callers that are open.'),
  sapphireglade_configuration_version: gauge(
    'Version of the configuration in force.',
  ),
  sapphireglade_store_reachable: gauge(
    'Whether the last call to the store was answered: 1 or 0.',
  ),
  sapphireglade_members: gauge('Live proxies that the store lists.'),
  sapphireglade_owner_links: gauge('Links to owners of groups that are open.'),
  sapphireglade_group_term: gauge('Term of the recorded primary, by group.', [
    'group',
  ]),
  sapphireglade_view_age_seconds: gauge(
    'Time since the view of the primary was confirmed, by group.',
    ['group'],
  ),
  sapphireglade_connections: gauge(
    'Connections that are open, by group and instance.',
    ['group', 'instance'],
  ),
  sapphireglade_connection_share: gauge(
    'Connections that this proxy may open, by group and instance.',
    ['group', 'instance'],
  ),
  sapphireglade_waiting_requests: gauge(
    'Requests that wait for a connection, by group and instance.',
    ['group', 'instance'],
  ),
  process_resident_memory_bytes: gauge('Resident memory of this process.'),
} as const;
