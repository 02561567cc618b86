import fc from 'fast-check';
import type {HistoryEvent} from './group-over-restores.js';

type EventKind = HistoryEvent['kind'];

/** Relative frequencies of the kinds of events that are drawn. */
type EventWeights = Readonly<Partial<Record<EventKind, number>>>;

/** How often each kind of event is drawn where nothing is prescribed. */
const WEIGHTS: EventWeights = {
  act: 40,
  write: 10,
  confirm: 4,
  verify: 4,
  promote: 20,
  follow: 8,
  crash: 2,
  restart: 16,
  lose: 1,
  restore: 2,
  expire: 3,
  'replace-coordinator': 2,
};

/** Delays after which a view has run out, and a restored store has settled. */
const LONG_DELAYS = [5, 11, 26];

const UNREACHABLE = fc.oneof(
  {weight: 4, arbitrary: fc.constant(0)},
  {weight: 1, arbitrary: fc.nat({max: 7})},
);

const EVENT: fc.Arbitrary<HistoryEvent> = fc.record({
  kind: fc.oneof(
    ...Object.entries(WEIGHTS).map(([kind, weight]) => ({
      weight,
      arbitrary: fc.constant(kind as EventKind),
    })),
  ),
  first: fc.nat({max: 5}),
  second: fc.nat({max: 5}),
  unreachable: UNREACHABLE,
  delay: fc.oneof(
    {weight: 10, arbitrary: fc.nat({max: 1})},
    {weight: 1, arbitrary: fc.constantFrom(...LONG_DELAYS)},
  ),
});

function event(
  kind: EventKind,
  first: number,
  second: number,
  delay: number,
  unreachable = 0,
): HistoryEvent {
  return {kind, first, second, unreachable, delay};
}

/** A proxy that renews its view, and writes. */
const SERVICE = fc
  .record({
    kind: fc.constantFrom<EventKind>('confirm', 'verify'),
    first: fc.nat({max: 1}),
    replica: fc.nat({max: 2}),
  })
  .map(({kind, first, replica}) => [
    event(kind, first, 0, 0),
    event('write', first, replica, 1),
  ]);

/** What may happen between two steps of a coordinator. */
const INTERRUPTION = fc.oneof(
  {weight: 5, arbitrary: fc.constant([])},
  {weight: 2, arbitrary: SERVICE},
  {weight: 2, arbitrary: EVENT.map(each => [each])},
  {weight: 1, arbitrary: fc.constant([event('promote', 0, 0, 0)])},
);

/** Steps of one coordinator with other events between them, cut off anywhere. */
function stepsOf(
  delays: readonly number[],
  replacesPrimary: boolean,
): fc.Arbitrary<HistoryEvent[]> {
  const steps = fc.record({
    first: fc.nat({max: 1}),
    length: fc.nat({max: delays.length}),
    unreachable: UNREACHABLE,
    interruptions: fc.array(INTERRUPTION, {
      minLength: delays.length,
      maxLength: delays.length,
    }),
  });
  return steps.map(({first, length, unreachable, interruptions}) =>
    delays
      .slice(0, length)
      .flatMap((delay, index) => [
        event('act', first, Number(!replacesPrimary), delay, unreachable),
        ...interruptions[index]!,
      ]),
  );
}

/** A coordinator that begins a change of primary. */
const CHANGE = stepsOf([0, 0, 0, 0, 11, 0, 0, 0], true);

/** A restore, restarts, and a coordinator that claims the role after it. */
const RECOVERY = fc
  .tuple(
    fc.nat({max: 4}),
    fc.uniqueArray(fc.nat({max: 2}), {maxLength: 3}),
    stepsOf([0, 0, 26, 0, 0, 0, 11, 0, 0], false),
  )
  .map(([lost, restarted, steps]) => [
    event('restore', 0, lost, 0),
    ...restarted.map(index => event('restart', index, 0, 0)),
    ...steps,
  ]);

/** A change whose end is lost. */
const LOST_CHANGE = fc.tuple(CHANGE, RECOVERY).map(parts => parts.flat());

/** Steps of one coordinator without anything between them. */
function plainSteps(
  first: number,
  delays: readonly number[],
  {replacesPrimary = false, unreachable = 0} = {},
): HistoryEvent[] {
  return delays.map(delay =>
    event('act', first, Number(!replacesPrimary), delay, unreachable),
  );
}

/** Time of a recovery at which proxies and orders go on. */
const AFTERMATH = fc
  .array(fc.oneof(SERVICE, fc.constant([event('promote', 0, 0, 0)])), {
    minLength: 2,
    maxLength: 6,
  })
  .map(parts => parts.flat());

/**
 * Instances that announce that they leave and are held, an order of a coordinator
 * that reaches some instances only, and a restore that may lose all of it.
 */
const LOST_ORDER_BESIDE_LEAVES = fc
  .record({
    leaving: fc.uniqueArray(fc.nat({max: 2}), {minLength: 1, maxLength: 2}),
    first: fc.nat({max: 1}),
    replacesPrimary: fc.boolean(),
    unreachable: fc.constantFrom(0, 1, 2, 4),
    lost: fc.nat({max: 4}),
    restarted: fc.uniqueArray(fc.nat({max: 2}), {maxLength: 2}),
    settling: fc.constantFrom([0, 0, 26, 0], [0, 0, 26, 61, 0]),
    before: SERVICE,
    after: AFTERMATH,
    later: AFTERMATH,
  })
  .map(({leaving, first, before, after, later, ...more}) => [
    ...leaving.map(index => event('leave', index, 0, 0)),
    ...before,
    ...plainSteps(first, [0, 0, 0]),
    ...plainSteps(first, [0, 0, 0, 11, 0, 0], more),
    event('restore', 0, more.lost, 0),
    ...more.restarted.map(index => event('restart', index, 0, 0)),
    ...plainSteps(1 - first, more.settling),
    ...after,
    ...plainSteps(1 - first, [0, 0]),
    ...later,
  ]);

/** What starts in the place of an instance that has left. */
const REPLACEMENT = fc
  .nat({max: 2})
  .map(index => [event('lose', index, 0, 0), event('follow', index, 0, 0)]);

/** Histories in which replicas also announce that they leave. */
export const HISTORY_WITH_LEAVES: fc.Arbitrary<readonly HistoryEvent[]> = fc
  .array(
    fc.oneof(
      {weight: 8, arbitrary: EVENT.map(each => [each])},
      {weight: 8, arbitrary: SERVICE},
      {weight: 2, arbitrary: REPLACEMENT},
      {weight: 1, arbitrary: CHANGE},
      {weight: 3, arbitrary: LOST_ORDER_BESIDE_LEAVES},
    ),
    {minLength: 15, maxLength: 40, size: 'max'},
  )
  .map(parts => parts.flat());

/** Histories of the model: single events, and longer runs of coordinators among them. */
export const HISTORY: fc.Arbitrary<readonly HistoryEvent[]> = fc
  .array(
    fc.oneof(
      {weight: 10, arbitrary: EVENT.map(each => [each])},
      {weight: 8, arbitrary: SERVICE},
      {weight: 2, arbitrary: CHANGE},
      {weight: 2, arbitrary: LOST_CHANGE},
    ),
    {minLength: 20, maxLength: 50, size: 'max'},
  )
  .map(parts => parts.flat());
