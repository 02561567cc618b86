import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {Refusal} from '@sapphireglade/protocol';
import {RefusalReason} from '@sapphireglade/protocol';

/** Error kind for each refusal reason of an instance. */
const ERROR_KIND_BY_REFUSAL: Readonly<Record<RefusalReason, ErrorKind>> = {
  [RefusalReason.TooManyConnections]: ErrorKind.NoConnection,
  [RefusalReason.NotOpened]: ErrorKind.Internal,
  [RefusalReason.NotPrimary]: ErrorKind.NoPrimary,
  [RefusalReason.StaleTerm]: ErrorKind.StaleTerm,
  [RefusalReason.BehindPosition]: ErrorKind.NoFreshReplica,
  [RefusalReason.NoTransaction]: ErrorKind.TransactionLost,
  [RefusalReason.StatementFailed]: ErrorKind.StatementFailed,
  [RefusalReason.Stopping]: ErrorKind.NoConnection,
  [RefusalReason.Invalid]: ErrorKind.StatementFailed,
};

/** The instance refused a request, which did not run. */
export class UpstreamRefusedError extends SapphiregladeError {
  /** @param refusal - The refusal returned by the instance. */
  constructor(readonly refusal: Refusal) {
    super(ERROR_KIND_BY_REFUSAL[refusal.reason], refusal.message, {
      outcome: Outcome.NotRun,
    });
    this.name = 'UpstreamRefusedError';
  }
}
