import type {Outcome} from '@sapphireglade/decisions';
import type {GatewayMetrics} from '../metrics/index.js';
import type {SessionRequest} from './types.js';

/**
 * Counts a request and records its duration.
 *
 * @param metrics - Metrics of the process.
 * @param request - The request.
 * @param outcome - Outcome that was reported to the caller.
 * @param durationMs - Time from its receipt to its answer, in milliseconds.
 */
export function recordRequest(
  metrics: GatewayMetrics,
  {statement}: SessionRequest,
  outcome: Outcome,
  durationMs: number,
): void {
  const labels = {statement: statement?.kind ?? 'none'};
  metrics.increment('sapphireglade_requests_total', {...labels, outcome});
  metrics.recordDuration(
    'sapphireglade_request_duration_seconds',
    durationMs,
    labels,
  );
}
