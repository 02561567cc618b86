import type {
  OutstandingOrder,
  PrimaryRecord,
  ReplicationReport,
} from './types.js';
import {PrimaryPhase} from './types.js';

/** What a coordinator knows of an order that an earlier one may have sent. */
export interface OutstandingOrderInputs {
  readonly order: OutstandingOrder;
  /** The record of the change that the order belongs to. */
  readonly record: PrimaryRecord;
  /** Latest report of the ordered instance, if it answers. */
  readonly report: ReplicationReport | undefined;
  /** Whether the instance has reported as a held replica during this change. */
  readonly wasHeld: boolean;
  /** How long the coordinator has known of the order, in milliseconds. */
  readonly knownForMs: number;
  /** How long an order may take to arrive, in milliseconds. */
  readonly limitMs: number;
}

/** State of an order that an earlier coordinator may have sent. */
export const OrderState = {
  /** The ordered instance leads. */
  Effective: 'effective',
  /** It may still arrive. */
  Pending: 'pending',
  /** It is not expected any more. */
  Expired: 'expired',
} as const;

/** One of the states of an order. */
export type OrderState = (typeof OrderState)[keyof typeof OrderState];

/**
 * Returns the order that a record leaves without a result.
 *
 * @param record - The record.
 * @param token - Fencing token of an order for which the record was written.
 */
export function outstandingOrderOf(
  record: PrimaryRecord,
  token: number,
): OutstandingOrder | undefined {
  if (record.phase !== PrimaryPhase.Changing) return undefined;
  return record.target === undefined
    ? record.outstandingOrder
    : {target: record.target, token};
}

/**
 * Decides whether an order of another coordinator may still arrive.
 *
 * That coordinator may be frozen or killed, and what its machine has sent is
 * delivered when the path heals. An order with a higher token that is sent
 * before makes the late one a lower token, and a promotion by positions of
 * before.
 *
 * @param inputs - The order, and what is known of its instance.
 * @returns The state of the order.
 */
export function outstandingOrderState({
  order,
  record,
  report,
  wasHeld,
  knownForMs,
  limitMs,
}: OutstandingOrderInputs): OrderState {
  if (report?.id === order.target && report.isPrimary) {
    // The target of an earlier order may lead as well.
    const promotedTerm = record.term + Math.max(1, record.orders ?? 0);
    const isPromoted = wasHeld
      ? report.term > record.term
      : report.term >= promotedTerm;
    if (isPromoted) return OrderState.Effective;
  }
  return knownForMs < limitMs ? OrderState.Pending : OrderState.Expired;
}
