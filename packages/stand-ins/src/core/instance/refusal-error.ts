import type {RefusalReason} from '@sapphireglade/protocol';
import {HttpResponseError} from '../http/index.js';

/** Status of every refusal. */
const REFUSAL_STATUS = 409;

/** The instance refuses a request, which does not run and never will. */
export class RefusalError extends HttpResponseError {
  /**
   * @param reason - Why the request is refused.
   * @param message - What happened, as one sentence.
   * @param term - Highest term that the instance has granted.
   */
  constructor(
    readonly reason: RefusalReason,
    message: string,
    term: number,
  ) {
    super(REFUSAL_STATUS, {reason, message, term});
    this.name = 'RefusalError';
  }
}
