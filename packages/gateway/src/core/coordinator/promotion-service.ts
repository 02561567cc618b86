/** What the platform says to a promotion. */
export const PromotionResult = {
  /** The instance will lead. */
  Accepted: 'accepted',
  /** The instance is not running. */
  NotRunning: 'not-running',
  /** The platform refused the call for now; nothing was done. */
  Refused: 'refused',
  /** No answer came; the call may have an effect. */
  Unknown: 'unknown',
} as const;

/** One of the answers. */
export type PromotionResult =
  (typeof PromotionResult)[keyof typeof PromotionResult];

/** A promotion of one instance. */
export interface Promotion {
  readonly group: string;
  /** Instance that leads next. */
  readonly instance: string;
  /** Name of the proxy that orders it. */
  readonly holder: string;
  /** Rises with each promotion, so that an older order can be told apart. */
  readonly fencingToken: number;
}

/** Makes an instance the primary of its group. */
export abstract class PromotionService {
  /** Orders a promotion; never rejects. */
  abstract promote(promotion: Promotion): Promise<PromotionResult>;
}
