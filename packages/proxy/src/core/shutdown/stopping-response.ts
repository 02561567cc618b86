import {ERROR_CATALOGUE, ErrorKind} from '@sapphireglade/decisions';
import type {
  ExecutionResponse,
  ExecutionRequest,
  ProcessIdentity,
} from '@sapphireglade/protocol';

/** Whether a request begins something, as against going on with it. */
export function startsNewWork({type}: ExecutionRequest): boolean {
  return type === 'execute' || type === 'begin-transaction';
}

/** Refuses a forwarded request; the other proxy tries another owner. */
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
