import type {CallerClientOptions} from '@sapphireglade/stand-ins';
import type {LatencySummary} from './latency-recorder.js';

/** Options of a connection worker. */
export interface ConnectionWorkerOptions {
  readonly client: CallerClientOptions;
  readonly groups: readonly string[];
  /** Number of sockets that it keeps open. */
  readonly connections: number;
  /** Number of requests in flight. */
  readonly concurrency: number;
  readonly durationMs: number;
}

/** Message of a connection worker to its parent. */
export type ConnectionWorkerMessage =
  | {readonly type: 'opened'}
  | {
      readonly type: 'done';
      readonly answered: number;
      readonly failures: number;
      readonly summary: LatencySummary;
    };
