/** A timestamp of a hybrid logical clock. */
export interface HybridTimestamp {
  /** Highest wall clock time observed so far, in milliseconds. */
  readonly wallMs: number;
  /** Orders timestamps with the same `wallMs`. */
  readonly counter: number;
}
