import type {
  ExecutionResponse,
  ExecutionRequest,
} from '@sapphireglade/protocol';
import type {WriteHolds} from './write-holds.js';

/**
 * Maximum time that an open transaction delays a planned change, in
 * milliseconds.
 */
const TRANSACTION_HOLD_LIMIT_MS = 10_000;

/**
 * Time reserved for the write itself when it waits for a hold, in milliseconds.
 */
const WRITE_RESERVE_MS = 50;

/** Runs requests on the instances that this process owns. */
export interface RequestExecutor {
  execute(
    request: ExecutionRequest,
    deadlineMs: number,
  ): Promise<ExecutionResponse>;
}

/**
 * Delays writes and new transactions while the writes of their group are held.
 */
export class WriteHoldExecutor implements RequestExecutor {
  private readonly endCallbacks = new Map<string, () => void>();

  /**
   * @param executor - Runs the requests.
   * @param writeHolds - The write holds of all groups.
   */
  constructor(
    private readonly executor: RequestExecutor,
    private readonly writeHolds: WriteHolds,
  ) {}

  async execute(
    request: ExecutionRequest,
    deadlineMs: number,
  ): Promise<ExecutionResponse> {
    switch (request.type) {
      case 'execute':
        if (request.access === 'read') break;
        return this.executeWrite(request, deadlineMs);
      case 'begin-transaction':
        return this.begin(request, deadlineMs);
      case 'finish-transaction':
        return this.finish(request, deadlineMs);
      case 'transaction-statement':
        break;
    }
    return this.executor.execute(request, deadlineMs);
  }

  private async executeWrite(
    request: ExecutionRequest,
    deadlineMs: number,
  ): Promise<ExecutionResponse> {
    const {endWrite, remainingMs} = await this.beginWrite(request, deadlineMs);
    try {
      return await this.executor.execute(request, remainingMs);
    } finally {
      endWrite();
    }
  }

  private async begin(
    request: ExecutionRequest,
    deadlineMs: number,
  ): Promise<ExecutionResponse> {
    const {endWrite, remainingMs} = await this.beginWrite(request, deadlineMs);
    const answer = await this.executor.execute(request, remainingMs);
    const transaction = answer.result?.transaction;
    if (transaction === undefined) {
      endWrite();
      return answer;
    }
    const timer = setTimeout(
      () => this.endTransaction(transaction),
      TRANSACTION_HOLD_LIMIT_MS,
    ).unref();
    this.endCallbacks.set(transaction, () => {
      clearTimeout(timer);
      endWrite();
    });
    return answer;
  }

  private async finish(
    request: Extract<ExecutionRequest, {type: 'finish-transaction'}>,
    deadlineMs: number,
  ): Promise<ExecutionResponse> {
    try {
      return await this.executor.execute(request, deadlineMs);
    } finally {
      this.endTransaction(request.transaction);
    }
  }

  private endTransaction(transaction: string): void {
    this.endCallbacks.get(transaction)?.();
    this.endCallbacks.delete(transaction);
  }

  private async beginWrite(
    {group}: ExecutionRequest,
    deadlineMs: number,
  ): Promise<{endWrite: () => void; remainingMs: number}> {
    const startedAtMs = performance.now();
    const waitMs = Math.max(0, deadlineMs - WRITE_RESERVE_MS);
    const endWrite = await this.writeHolds.beginWrite(group, waitMs);
    const waitedMs = performance.now() - startedAtMs;
    return {endWrite, remainingMs: Math.max(1, deadlineMs - waitedMs)};
  }
}
