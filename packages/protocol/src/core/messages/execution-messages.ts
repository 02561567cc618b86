import {z} from 'zod';
import {sqlValueSchema, instanceStatusSchema} from '../upstream/index.js';
import {
  groupViewSchema,
  logPositionSchema,
  peerErrorSchema,
} from './shared-schemas.js';

const requestFields = {
  requestId: z.string(),
  /** Name of the caller, for sharing the queue. */
  caller: z.string(),
  group: z.string(),
};
const statementFields = {
  sql: z.string(),
  parameters: z.array(sqlValueSchema),
  access: z.enum(['read', 'write']),
};

/** Asks an owner to run one statement. */
export const executeRequestSchema = z.object({
  type: z.literal('execute'),
  ...requestFields,
  ...statementFields,
  idempotent: z.boolean(),
  allowedAgeMs: z.number().min(0),
  /** What the session has seen in this group. */
  minimumPosition: logPositionSchema,
});

/** Asks an owner to begin a transaction. */
export const beginTransactionRequestSchema = z.object({
  type: z.literal('begin-transaction'),
  ...requestFields,
  access: z.enum(['read', 'write']),
  minimumPosition: logPositionSchema,
});

/** Asks an owner to run a statement in a transaction. */
export const transactionStatementRequestSchema = z.object({
  type: z.literal('transaction-statement'),
  ...requestFields,
  ...statementFields,
  /** Identifies the transaction at its owner. */
  transaction: z.string(),
  /** Run of the owner that holds the transaction. */
  ownerBoot: z.string(),
});

/** Asks an owner to end a transaction. */
export const finishTransactionRequestSchema = z.object({
  type: z.literal('finish-transaction'),
  ...requestFields,
  transaction: z.string(),
  ownerBoot: z.string(),
  commit: z.boolean(),
});

/** Asks an owner what it last saw of the instances of a group. */
export const observeGroupRequestSchema = z.object({
  type: z.literal('observe-group'),
  group: z.string(),
});

/** Answer to {@link observeGroupRequestSchema}. */
export const groupObservationsSchema = z.object({
  observations: z.array(
    z.object({
      status: instanceStatusSchema,
      /** Time since the probe was sent, in milliseconds. */
      ageMs: z.number().min(0),
    }),
  ),
});

/** Answer to every request that is executed. */
export const executionResponseSchema = z.object({
  /** Run of the owner that answers. */
  ownerBoot: z.string(),
  owner: z.string(),
  /** Left out if the statement was refused or failed. */
  result: z
    .object({
      rows: z.array(z.record(z.string(), sqlValueSchema)),
      rowCount: z.int(),
      instance: z.string(),
      role: z.enum(['primary', 'replica']),
      position: logPositionSchema,
      transaction: z.string().optional(),
    })
    .optional(),
  error: peerErrorSchema.optional(),
  /** What the owner knows of the group, if it has a primary. */
  view: groupViewSchema.optional(),
});

/** Asks an owner to run one statement. */
export type ExecuteRequest = z.infer<typeof executeRequestSchema>;
/** Asks an owner to begin a transaction. */
export type BeginTransactionRequest = z.infer<
  typeof beginTransactionRequestSchema
>;
/** Asks an owner to run a statement in a transaction. */
export type TransactionStatementRequest = z.infer<
  typeof transactionStatementRequestSchema
>;
/** Asks an owner to end a transaction. */
export type FinishTransactionRequest = z.infer<
  typeof finishTransactionRequestSchema
>;
/** Asks an owner what it last saw of the instances of a group. */
export type ObserveGroupRequest = z.infer<typeof observeGroupRequestSchema>;
/** What an owner last saw of the instances of a group. */
export type GroupObservations = z.infer<typeof groupObservationsSchema>;
/** Any request that an owner executes. */
export type ExecutionRequest =
  | ExecuteRequest
  | BeginTransactionRequest
  | TransactionStatementRequest
  | FinishTransactionRequest;
/** Answer to an execution request. */
export type ExecutionResponse = z.infer<typeof executionResponseSchema>;
/** The result part of an execution answer. */
export type ExecutionResult = NonNullable<ExecutionResponse['result']>;
