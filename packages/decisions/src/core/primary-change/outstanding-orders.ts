import type {LogPosition} from '../groups/index.js';
import {comparePositions} from '../groups/index.js';
import type {TargetChoice, TargetInputs} from './choose-target.js';
import {chooseTarget} from './choose-target.js';
import type {
  Incarnation,
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

/** What a coordinator knows of an order that it has sent itself. */
export interface SentOrder {
  /** The ordered instance. */
  readonly target: string;
  /** Incarnation that was ordered. */
  readonly incarnation: Incarnation;
  /** Position of the instance when it was ordered. */
  readonly position: LogPosition;
  /** Why acknowledged commits may have been missing on it, if any may. */
  readonly unverified?: string | undefined;
}

/**
 * Returns the order that a record leaves without a result. A steady record has
 * one if its primary was ordered more than once: a further order changes nothing
 * while that instance leads, but may end the term of the next primary.
 *
 * @param record - The record.
 * @param token - Fencing token of an order for which the record was written.
 */
export function outstandingOrderOf(
  record: PrimaryRecord,
  token: number,
): OutstandingOrder | undefined {
  return record.phase === PrimaryPhase.Steady || record.target === undefined
    ? record.outstandingOrder
    : {target: record.target, token};
}

/**
 * Chooses a target while an order of this coordinator may still take effect.
 *
 * No other instance may be ordered until then: the order would promote its
 * instance by the log of before, and drop what another primary has acknowledged.
 * Since that instance was chosen, only it can have led, so it still has every
 * acknowledged commit, unless it has lost its log.
 *
 * @param inputs - Reports of the instances, and the state of the change.
 * @param order - The order.
 * @param incarnation - Incarnation of the ordered instance that reported.
 * @returns The same target, or the reason why the change has to wait.
 */
export function chooseOrderedTarget(
  inputs: TargetInputs,
  order: SentOrder,
  incarnation: Incarnation,
): TargetChoice {
  const {target, unverified} = order;
  const position = keptPosition(inputs, order, incarnation);
  if (position !== undefined)
    return {kind: 'promote', target, position, unverified};
  const choice = chooseTarget(inputs);
  return choice.kind === 'promote' && choice.target === target
    ? choice
    : {kind: 'wait', reason: `an order may still promote ${target}`};
}

/**
 * Returns the position of an ordered instance that has kept its log since the
 * order; undefined if it has not reported, or may have lost its log.
 */
export function keptPosition(
  {replicas}: TargetInputs,
  {target, incarnation: ordered, position}: SentOrder,
  incarnation: Incarnation,
): LogPosition | undefined {
  const received = replicas.find(({id}) => id === target)?.report?.received;
  if (received === undefined || incarnation !== ordered) return undefined;
  const hasNewestTerm = replicas.every(
    ({report}) => (report?.received.term ?? 0) <= received.term,
  );
  const isComplete = comparePositions(received, position) >= 0;
  return hasNewestTerm && isComplete ? received : undefined;
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
