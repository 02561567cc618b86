import type {RefusalReason} from '@sapphireglade/protocol';
import {HttpResponseError} from '../http/index.js';

/** HTTP status of every refusal. */
const REFUSAL_STATUS = 409;

/** Error for a refused request, which has not run and will never run. */
export class RefusalError extends HttpResponseError {
  /**
   * @param reason - Reason code of the refusal.
   * @param message - Description in one sentence.
   * @param term - Highest term granted by the instance.
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
