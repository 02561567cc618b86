import {ERROR_CATALOGUE, ErrorKind} from '@sapphireglade/decisions';
import type {
  ExecutionResponse,
  ExecutionRequest,
  ProcessIdentity,
} from '@sapphireglade/protocol';

/** Whether a request starts new work instead of continuing a transaction. */
export function startsNewWork({type}: ExecutionRequest): boolean {
  return type === 'execute' || type === 'begin-transaction';
}

/** Creates a refusal, after which the sender tries another owner. */
export function createStoppingResponse(
  identity: ProcessIdentity,
): ExecutionResponse {
  const {outcome} = ERROR_CATALOGUE[ErrorKind.ShuttingDown];
  return {
    owner: identity.process,
    ownerBoot: identity.boot,
    error: {
      kind: ErrorKind.ShuttingDown,
      message: `The proxy ${identity.process} is stopping.`,
      outcome,
    },
  };
}
