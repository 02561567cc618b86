import * as z from 'zod';
import {
  instanceStatusSchema,
  rowSchema,
  sqlValueSchema,
} from '../upstream/index.js';
import {
  groupViewSchema,
  logPositionSchema,
  peerErrorSchema,
} from './shared-schemas.js';

const requestFields = {
  requestId: z.string(),
  /** Name of the caller, for fair queueing. */
  caller: z.string(),
  group: z.string(),
};
const statementFields = {
  sql: z.string(),
  parameters: z.array(sqlValueSchema),
  access: z.enum(['read', 'write']),
};

/** Request to an owner to run one statement. */
export const executeRequestSchema = z.object({
  type: z.literal('execute'),
  ...requestFields,
  ...statementFields,
  idempotent: z.boolean(),
  allowedAgeMs: z.number().min(0),
  /** Latest position of this group that the session has observed. */
  minimumPosition: logPositionSchema,
});

/** Request to an owner to begin a transaction. */
export const beginTransactionRequestSchema = z.object({
  type: z.literal('begin-transaction'),
  ...requestFields,
  access: z.enum(['read', 'write']),
  minimumPosition: logPositionSchema,
});

/** Request to an owner to run a statement in a transaction. */
export const transactionStatementRequestSchema = z.object({
  type: z.literal('transaction-statement'),
  ...requestFields,
  ...statementFields,
  /** Identifies the transaction at its owner. */
  transaction: z.string(),
  /** Run of the owner that holds the transaction. */
  ownerBoot: z.string(),
});

/** Request to an owner to commit or roll back a transaction. */
export const finishTransactionRequestSchema = z.object({
  type: z.literal('finish-transaction'),
  ...requestFields,
  transaction: z.string(),
  ownerBoot: z.string(),
  commit: z.boolean(),
});

/** Requests an owner's latest observations of the instances of a group. */
export const observeGroupRequestSchema = z.object({
  type: z.literal('observe-group'),
  group: z.string(),
});

/** Response to {@link observeGroupRequestSchema}. */
export const groupObservationsSchema = z.object({
  observations: z.array(
    z.object({
      status: instanceStatusSchema,
      /** Time since the probe was sent, in milliseconds. */
      ageMs: z.number().min(0),
    }),
  ),
});

/** Response to every execution request. */
export const executionResponseSchema = z.object({
  /** Run of the responding owner. */
  ownerBoot: z.string(),
  owner: z.string(),
  /** Omitted if the statement was refused or failed. */
  result: z
    .object({
      rows: z.array(rowSchema),
      rowCount: z.int(),
      instance: z.string(),
      role: z.enum(['primary', 'replica']),
      position: logPositionSchema,
      transaction: z.string().optional(),
    })
    .optional(),
  error: peerErrorSchema.optional(),
  /** The owner's view of the group, if the group has a primary. */
  view: groupViewSchema.optional(),
});

/** Request to an owner to run one statement. */
export type ExecuteRequest = z.infer<typeof executeRequestSchema>;
/** Request to an owner to begin a transaction. */
export type BeginTransactionRequest = z.infer<
  typeof beginTransactionRequestSchema
>;
/** Request to an owner to run a statement in a transaction. */
export type TransactionStatementRequest = z.infer<
  typeof transactionStatementRequestSchema
>;
/** Request to an owner to commit or roll back a transaction. */
export type FinishTransactionRequest = z.infer<
  typeof finishTransactionRequestSchema
>;
/** Requests an owner's latest observations of the instances of a group. */
export type ObserveGroupRequest = z.infer<typeof observeGroupRequestSchema>;
/** An owner's latest observations of the instances of a group. */
export type GroupObservations = z.infer<typeof groupObservationsSchema>;
/** Any execution request. */
export type ExecutionRequest =
  | ExecuteRequest
  | BeginTransactionRequest
  | TransactionStatementRequest
  | FinishTransactionRequest;
/** Response to an execution request. */
export type ExecutionResponse = z.infer<typeof executionResponseSchema>;
/** The result of an execution response. */
export type ExecutionResult = NonNullable<ExecutionResponse['result']>;
