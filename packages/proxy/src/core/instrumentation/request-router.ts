import type {
  ExecutionResponse,
  ExecutionRequest,
} from '@sapphireglade/protocol';

/** Routes requests to owners on this VM or another one. */
export interface RequestRouter {
  /** Routes a request to the best owner; see `StatementRouter.route`. */
  route(
    request: ExecutionRequest,
    deadlineMs: number,
  ): Promise<ExecutionResponse>;
  /** Routes a request to the given owner; see `StatementRouter.routeTo`. */
  routeTo(
    owner: string,
    request: ExecutionRequest,
    deadlineMs: number,
  ): Promise<ExecutionResponse>;
}
