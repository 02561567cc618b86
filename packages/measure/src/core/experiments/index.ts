/** Named measurements. */
import {AddedLatency} from './added-latency.js';
import {DelegateScaling} from './control-plane/index.js';
import type {Experiment} from './experiment.js';
import {ConfigurationPropagation} from './configuration-propagation.js';
import {FailoverGap} from './failover-gap.js';
import {LatencyNoise} from './latency-noise.js';
import {OpenConnections} from './open-connections.js';
import {Overload} from './overload.js';
import {PRIMARY_FAULTS} from './primary-faults.js';
import {ReplicaReads} from './replica-reads.js';

export * from './experiment.js';
export * from './ideal-replica-reads.js';
export * from './run-experiment.js';

/** All experiments of the command line. */
export const EXPERIMENTS: readonly Experiment[] = [
  ...PRIMARY_FAULTS.map(fault => new FailoverGap(fault)),
  new LatencyNoise(),
  new ReplicaReads(),
  new Overload(),
  new AddedLatency(),
  new OpenConnections(),
  new ConfigurationPropagation(),
  new DelegateScaling(),
];
