import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {timelineQuerySchema} from '@sapphireglade/protocol';
import {formatValidationIssue} from '@sapphireglade/runtime';
import type {FastifyInstance} from 'fastify';
import type {EventRecorder} from './event-recorder.js';

/**
 * Registers `GET /v1/timeline` on the operator server, which authenticates
 * each request and converts errors to responses.
 *
 * @param app - The operator server.
 * @param recorder - Event recorder of this process.
 */
export function registerTimelineRoutes(
  app: FastifyInstance,
  recorder: EventRecorder,
): void {
  app.get('/v1/timeline', async request => {
    const query = timelineQuerySchema.safeParse(request.query);
    if (query.success) return recorder.page(query.data);
    const [issue] = query.error.issues;
    throw new SapphiregladeError(
      ErrorKind.InvalidInput,
      `The query is not valid: ${formatValidationIssue(issue!)}`,
      {field: issue!.path.join('.')},
    );
  });
}
