import type {FastifyInstance} from 'fastify';
import type {MetricsRegistry} from './metrics-registry.js';
import {PROMETHEUS_MEDIA_TYPE} from '@sapphireglade/runtime';

/**
 * Registers `GET /metrics` in the Prometheus text format.
 *
 * @param app - The operator server.
 * @param metrics - The metrics of this process.
 */
export function registerMetricsRoutes(
  app: FastifyInstance,
  metrics: MetricsRegistry,
): void {
  app.get('/metrics', async (_request, reply) => {
    reply.header('content-type', PROMETHEUS_MEDIA_TYPE);
    return metrics.render();
  });
}
