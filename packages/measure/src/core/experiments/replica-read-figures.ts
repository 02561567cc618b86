import type {DeploymentGroup} from '@sapphireglade/stand-ins';
import type {TimedRead} from './ideal-replica-reads.js';
import type {Figure} from '../report/index.js';
import {BoundRelation} from '../report/index.js';

/** Stated bound on the share if the lag is below the age, in percent. */
const SHARE_BOUND_PERCENT = 95;

/** Stated bound on the distance from an ideal router, in percentage points. */
const DISTANCE_BOUND_POINTS = 2;

/** Counts of one step. */
export interface ReadCounts {
  reads: number;
  replicaReads: number;
  /** All answered reads. */
  readonly timedReads: TimedRead[];
  failures: number;
  staleReads: number;
}

/** Conditions of one step. */
export interface ReplicaReadStep {
  readonly caseName: string;
  readonly lags: readonly number[];
  readonly ownWritePercent: number;
}

/** Returns a number of reads in percent of all answered reads. */
export function percentOfReads(part: number, {reads}: ReadCounts): number {
  return reads === 0 ? 0 : (part / reads) * 100;
}

/** Lists the figures of one step. */
export function listFigures(
  {caseName, lags, ownWritePercent}: ReplicaReadStep,
  counts: ReadCounts,
  {possible, allowedAgeMs}: {possible: number; allowedAgeMs: number},
): Figure[] {
  const at = `${caseName}, ${ownWritePercent}% own`;
  const share = percentOfReads(counts.replicaReads, counts);
  const possibleShare = percentOfReads(possible, counts);
  const isBounded =
    ownWritePercent === 0 && lags.some(lag => lag < allowedAgeMs);
  return [
    {
      name: `replica share, ${at}`,
      value: share,
      unit: '%',
      ...(isBounded && {
        bound: {relation: BoundRelation.AtLeast, value: SHARE_BOUND_PERCENT},
      }),
    },
    {
      name: `below a router that knows the true state, ${at}`,
      value: possibleShare - share,
      unit: 'points',
      bound: {relation: BoundRelation.AtMost, value: DISTANCE_BOUND_POINTS},
    },
    {name: `reads, ${at}`, value: counts.reads, unit: ''},
    {name: `reads that failed, ${at}`, value: counts.failures, unit: ''},
    {
      name: `own writes not read, ${at}`,
      value: counts.staleReads,
      unit: '',
      bound: {relation: BoundRelation.AtMost, value: 0},
    },
  ];
}

/** Describes the conditions of the run for a reader of the result. */
export function createNotes(
  {allowedAgeMs}: DeploymentGroup,
  rates: {readonly reads: number; readonly writes: number},
): string[] {
  return [
    `One group, allowed age ${allowedAgeMs} ms, ${rates.reads} reads and ${rates.writes} other writes a second through all proxies and the relay.`,
    'The router that knows the true state gives a read to a replica that holds the own write and lacks nothing older than the allowed age, by the times in the log of the primary.',
  ];
}
