import {z} from 'zod';

/** How a figure is compared with its stated bound. */
export const BoundRelation = {
  AtMost: 'at most',
  AtLeast: 'at least',
} as const;

/** One of the relations. */
export type BoundRelation = (typeof BoundRelation)[keyof typeof BoundRelation];

const figureSchema = z.strictObject({
  name: z.string(),
  value: z.number(),
  unit: z.string(),
  /** The bound that was stated before the measurement. */
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
  /** The command that made the run. */
  command: z.string(),
  startedAt: z.string(),
  /** Load of the machine while the run began, over one minute. */
  machineLoad: z.number(),
  processors: z.int(),
  /** What a reader must know of the run. */
  notes: z.array(z.string()),
  figures: z.array(figureSchema),
  series: z.array(seriesSchema),
});

/** The result of one run of an experiment. */
export type Measurement = z.infer<typeof measurementSchema>;
/** One figure with its bound. */
export type Figure = z.infer<typeof figureSchema>;
/** One plotted line. */
export type Series = z.infer<typeof seriesSchema>;

/** Says whether a figure keeps its bound; undefined if it has none. */
export function isWithinBound({value, bound}: Figure): boolean | undefined {
  if (bound === undefined) return undefined;
  return bound.relation === BoundRelation.AtMost
    ? value <= bound.value
    : value >= bound.value;
}
