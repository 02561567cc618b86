import * as z from 'zod';
import {
  beginTransactionRequestSchema,
  executeRequestSchema,
  finishTransactionRequestSchema,
  observeGroupRequestSchema,
  transactionStatementRequestSchema,
} from './execution-messages.js';
import {
  configurationOfferSchema,
  configurationPullSchema,
  configurationReportSchema,
  memberStoppingSchema,
} from './configuration-messages.js';
import {
  groupViewNotificationSchema,
  holdWritesRequestSchema,
  primaryReportRequestSchema,
  releaseWritesRequestSchema,
} from './failover-messages.js';

/** Schema of every request that one proxy may send to another. */
export const peerRequestSchema = z.discriminatedUnion('type', [
  executeRequestSchema,
  beginTransactionRequestSchema,
  transactionStatementRequestSchema,
  finishTransactionRequestSchema,
  observeGroupRequestSchema,
  configurationReportSchema,
  configurationPullSchema,
  primaryReportRequestSchema,
  holdWritesRequestSchema,
  releaseWritesRequestSchema,
]);

/** Schema of every notification that one proxy may send to another. */
export const peerNotificationSchema = z.discriminatedUnion('type', [
  groupViewNotificationSchema,
  configurationOfferSchema,
  memberStoppingSchema,
]);

/** Any request between proxies. */
export type PeerRequest = z.infer<typeof peerRequestSchema>;
/** Any notification between proxies. */
export type PeerNotification = z.infer<typeof peerNotificationSchema>;
