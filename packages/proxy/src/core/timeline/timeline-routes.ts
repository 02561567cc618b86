import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {timelineQuerySchema} from '@sapphireglade/protocol';
import {formatValidationIssue} from '@sapphireglade/runtime';
import type {FastifyInstance} from 'fastify';
import type {EventRecorder} from './event-recorder.js';

/**
 * Adds `GET /v1/timeline` to the server for operators, which authenticates
 * each request and turns errors into answers.
 *
 * @param app - The server.
 * @param recorder - The time line of this process.
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
