import {availableParallelism, loadavg} from 'node:os';
import type {Measurement} from '../report/index.js';
import {measurementSchema} from '../report/index.js';
import type {Experiment, ExperimentContext} from './experiment.js';

/** Command and seed of a run. */
export interface RunDescription {
  readonly command: string;
  readonly seed: number;
}

/** Runs an experiment and returns its result with a description of the run. */
export async function runExperiment(
  experiment: Experiment,
  context: ExperimentContext,
  {command, seed}: RunDescription,
): Promise<Measurement> {
  const startedAt = new Date().toISOString();
  const [machineLoad = 0] = loadavg();
  const result = await experiment.run(context);
  return measurementSchema.parse({
    experiment: experiment.name,
    deployment: context.deployment.name,
    seed,
    command,
    startedAt,
    machineLoad,
    processors: availableParallelism(),
    ...result,
  });
}
