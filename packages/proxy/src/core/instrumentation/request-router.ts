import type {
  ExecutionResponse,
  ExecutionRequest,
} from '@sapphireglade/protocol';

/** Brings requests to owners, here or on another VM. */
export interface RequestRouter {
  /** Brings a request to the best owner; see `StatementRouter.route`. */
  route(
    request: ExecutionRequest,
    deadlineMs: number,
  ): Promise<ExecutionResponse>;
  /** Brings a request to one owner; see `StatementRouter.routeTo`. */
  routeTo(
    owner: string,
    request: ExecutionRequest,
    deadlineMs: number,
  ): Promise<ExecutionResponse>;
}
