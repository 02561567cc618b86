import type {ErrorDefinition} from './catalogue.js';
import {ERROR_CATALOGUE} from './catalogue.js';
import type {ErrorKind} from './error-kind.js';
import type {Outcome} from './outcome.js';

/** Optional details of an error. */
export interface ErrorDetails {
  /** Delay before the caller should retry, in milliseconds. */
  readonly retryAfterMs?: number;
  /** The input field that was refused. */
  readonly field?: string;
  /** Overrides the outcome of the catalogue if the upstream reported a definite one. */
  readonly outcome?: Outcome;
  /** The error that caused this one. */
  readonly cause?: unknown;
}

/**
 * An error with a kind from the closed list.
 *
 * @example
 * ```ts
 * throw new SapphiregladeError(ErrorKind.NotFound, 'There is no group "a".');
 * ```
 */
export class SapphiregladeError extends Error {
  /** Delay before the caller should retry, in milliseconds. */
  readonly retryAfterMs: number | undefined;
  /** The input field that was refused. */
  readonly field: string | undefined;
  private readonly outcomeOverride: Outcome | undefined;

  /**
   * @param kind - The kind from the closed list.
   * @param message - Description of the error, as one sentence.
   * @param details - Optional details.
   */
  constructor(
    readonly kind: ErrorKind,
    message: string,
    details: ErrorDetails = {},
  ) {
    super(message, {cause: details.cause});
    this.name = 'SapphiregladeError';
    this.retryAfterMs = details.retryAfterMs;
    this.field = details.field;
    this.outcomeOverride = details.outcome;
  }

  /** The catalogue entry of this kind. */
  get definition(): ErrorDefinition {
    return ERROR_CATALOGUE[this.kind];
  }

  /** Outcome of the statement that is reported to the caller. */
  get outcome(): Outcome {
    return this.outcomeOverride ?? this.definition.outcome;
  }
}
