/** Response of the platform to a promotion. */
export const PromotionResult = {
  /** The platform accepted the promotion; the instance will become primary. */
  Accepted: 'accepted',
  /** The instance is not running. */
  NotRunning: 'not-running',
  /** The platform refused the call for now and changed nothing. */
  Refused: 'refused',
  /** The request was not sent, because it could not be or was too old. */
  NotSent: 'not-sent',
  /** No response was received; the call may take effect. */
  Unknown: 'unknown',
} as const;

/** A response to a promotion. */
export type PromotionResult =
  (typeof PromotionResult)[keyof typeof PromotionResult];

/** Returns whether the platform may execute an order that was answered so. */
export function mayTakeEffect(answer: PromotionResult): boolean {
  return (
    answer === PromotionResult.Accepted || answer === PromotionResult.Unknown
  );
}

/** A promotion of one instance. */
export interface Promotion {
  readonly group: string;
  /** Instance to promote. */
  readonly instance: string;
  /** Name of the proxy that orders the promotion. */
  readonly holder: string;
  /**
   * Increases with each promotion, so that an older order can be recognized.
   */
  readonly fencingToken: number;
  /**
   * Returns whether the promotion may still be ordered. Called just before it is
   * sent, because opening a connection takes time, and the process may be
   * suspended meanwhile.
   */
  readonly isValid: () => boolean;
}

/** Promotes an instance to the primary of its group. */
export abstract class PromotionService {
  /** Orders a promotion. Never rejects. */
  abstract promote(promotion: Promotion): Promise<PromotionResult>;
}
