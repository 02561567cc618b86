/** Whether a caller can retry after an error response. */
export const RetryAdvice = {
  /** The same request will fail again; change it first. */
  Never: 'never',
  /** The request can safely be sent again after the stated delay. */
  AfterDelay: 'after delay',
  /** Only an idempotent request can safely be sent again. */
  IdempotentOnly: 'idempotent only',
} as const;

/** A value of {@link RetryAdvice}. */
export type RetryAdvice = (typeof RetryAdvice)[keyof typeof RetryAdvice];
