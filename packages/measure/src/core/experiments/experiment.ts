import type {Deployment} from '@sapphireglade/stand-ins';
import type {Logger} from '@sapphireglade/runtime';
import type {RandomSource} from '../load/index.js';
import type {Figure, Series} from '../report/index.js';

/** Inputs of an experiment. */
export interface ExperimentContext {
  readonly deployment: Deployment;
  readonly random: RandomSource;
  /** Logger for the progress. */
  readonly log: Logger;
  /** Sizes set on the command line. */
  readonly load: ExperimentLoad;
}

/** Sizes of an experiment. */
export interface ExperimentLoad {
  /** Duration of each step, in milliseconds. */
  readonly stepMs: number;
  /** Number of rounds, such as faults or changes. */
  readonly repetitions: number;
}

/** Result of an experiment. */
export interface ExperimentResult {
  readonly figures: readonly Figure[];
  readonly series: readonly Series[];
  readonly notes: readonly string[];
}

/** Named measurement. */
export abstract class Experiment {
  /** Name on the command line. */
  abstract readonly name: string;
  /** Sentence for the help. */
  abstract readonly description: string;
  /** Runs the experiment and returns its result. */
  abstract run(context: ExperimentContext): Promise<ExperimentResult>;
}
