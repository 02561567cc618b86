import type {CallerClientOptions} from '@sapphireglade/stand-ins';
import type {LatencySummary} from './latency-recorder.js';

/** What a connection worker is given. */
export interface ConnectionWorkerOptions {
  readonly client: CallerClientOptions;
  readonly groups: readonly string[];
  /** How many sockets it keeps open. */
  readonly connections: number;
  /** How many requests are on their way at the same time. */
  readonly concurrency: number;
  readonly durationMs: number;
}

/** What a connection worker tells. */
export type ConnectionWorkerMessage =
  | {readonly type: 'opened'}
  | {
      readonly type: 'done';
      readonly answered: number;
      readonly failures: number;
      readonly summary: LatencySummary;
    };
