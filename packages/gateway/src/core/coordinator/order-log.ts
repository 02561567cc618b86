import type {RegisteredInstance} from '../directory/index.js';
import {steadyNowMs, wholeMilliseconds} from '../time/index.js';
import type {HeldInstances} from './held-instances.js';
import type {PrimaryChangeContext} from './primary-change-context.js';
import type {PromotionResult} from './promotion-service.js';
import {mayTakeEffect} from './promotion-service.js';

/** What the lines are taken from and written to. */
export type OrderLogContext = Pick<
  PrimaryChangeContext,
  'directory' | 'log' | 'orderHistory'
>;

/** An order to promote that is sent. */
export interface SentOrder {
  readonly target: string;
  /** Fencing token. */
  readonly token: number;
}

/**
 * Logs what an order to promote rests on at the time at which it is sent,
 * because the choice was made earlier: instances may have joined, restarted or
 * left since, and other orders may take effect.
 */
export class OrderLog {
  private chosenAtMs: number | undefined;
  private instancesAtChoice = '';

  /**
   * @param context - What an order rests on besides the holds, and the log.
   * @param group - Name of the group.
   * @param held - The instances that the change holds.
   */
  constructor(
    private readonly context: OrderLogContext,
    private readonly group: string,
    private readonly held: Pick<HeldInstances, 'isHeld' | 'lastConfirmation'>,
  ) {}

  /** Handles that a target was chosen. */
  onChoice(): void {
    this.chosenAtMs = steadyNowMs();
    this.instancesAtChoice = this.describeInstances();
  }

  /** Handles that an order is about to be sent. */
  onSending({target, token}: SentOrder): void {
    const {log, directory, orderHistory} = this.context;
    const {asked = [], answered = []} = this.held.lastConfirmation ?? {};
    const choiceAgeMs = steadyNowMs() - (this.chosenAtMs ?? -Infinity);
    log.info('A promotion is being ordered.', {
      group: this.group,
      target,
      token,
      instances: this.describeInstances(),
      instancesAtChoice: this.instancesAtChoice,
      choiceAgeMs: wholeMilliseconds(choiceAgeMs),
      directoryAgeMs: wholeMilliseconds(directory.ageMs),
      confirmed: answered.join(' '),
      silent: asked.filter(id => !answered.includes(id)).join(' '),
      otherOrders: orderHistory
        .unresolved(this.group)
        .filter(order => order.token !== token)
        .map(
          order =>
            `${order.target}#${order.token}+${Math.round(order.ageMs)}ms`,
        )
        .join(' '),
    });
  }

  /**
   * Handles the result of an order.
   *
   * @param order - The order.
   * @param answer - The result.
   * @param ageMs - Age of the token, in milliseconds.
   */
  onAnswered(
    {target, token}: SentOrder,
    answer: PromotionResult,
    ageMs: number,
  ): void {
    if (!mayTakeEffect(answer))
      this.context.orderHistory.remove(this.group, token);
    this.context.log.info('A promotion was ordered.', {
      group: this.group,
      target,
      token,
      answer,
      ageMs: Math.round(ageMs),
    });
  }

  /** Returns each listed instance with its incarnation, and whether it is held and its entry present. */
  private describeInstances(): string {
    return this.context.directory
      .findByGroup(this.group)
      .map(each => this.describeInstance(each))
      .join(' ');
  }

  private describeInstance(instance: RegisteredInstance): string {
    const {id, bornAtMs, isLeaving} = instance;
    return [
      `${id}#${bornAtMs ?? 'unknown'}`,
      ...(this.held.isHeld(instance) ? ['held'] : []),
      ...(this.context.directory.isRegistered(id) ? [] : ['missing']),
      ...(isLeaving ? ['leaving'] : []),
    ].join(',');
  }
}
