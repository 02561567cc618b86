import {z} from 'zod';

/** Relations between a figure and its stated bound. */
export const BoundRelation = {
  AtMost: 'at most',
  AtLeast: 'at least',
} as const;

/** Relation between a figure and its stated bound. */
export type BoundRelation = (typeof BoundRelation)[keyof typeof BoundRelation];

const figureSchema = z.strictObject({
  name: z.string(),
  value: z.number(),
  unit: z.string(),
  /** Bound stated before the measurement. */
  bound: z
    .strictObject({
      relation: z.enum(Object.values(BoundRelation)),
      value: z.number(),
    })
    .optional(),
});

const seriesSchema = z.strictObject({
  name: z.string(),
  xLabel: z.string(),
  yLabel: z.string(),
  points: z.array(z.tuple([z.number(), z.number()])),
});

/** Schema of the result of one run of an experiment. */
export const measurementSchema = z.strictObject({
  experiment: z.string(),
  deployment: z.string(),
  seed: z.int(),
  /** Command that started the run. */
  command: z.string(),
  startedAt: z.string(),
  /** Load average of the machine over one minute at the start of the run. */
  machineLoad: z.number(),
  processors: z.int(),
  /** Conditions of the run for a reader of the result. */
  notes: z.array(z.string()),
  figures: z.array(figureSchema),
  series: z.array(seriesSchema),
});

/** Result of one run of an experiment. */
export type Measurement = z.infer<typeof measurementSchema>;
/** Figure with its bound. */
export type Figure = z.infer<typeof figureSchema>;
/** Series of points to plot. */
export type Series = z.infer<typeof seriesSchema>;

/** Returns whether a figure is within its bound; undefined if it has none. */
export function isWithinBound({value, bound}: Figure): boolean | undefined {
  if (bound === undefined) return undefined;
  return bound.relation === BoundRelation.AtMost
    ? value <= bound.value
    : value >= bound.value;
}
