import type {StepEvent, StepEvents} from './change-in-steps.js';
import {ChangeInSteps} from './change-in-steps.js';
import type {ChangeRules} from './change-rules.js';
import {DESIGN_RULES, Dice} from './change-rules.js';

/** Steps of a history. */
const HISTORY_STEPS = 160;

/** Events of every history. */
const ESSENTIAL_EVENTS: StepEvents = {write: 24, suspect: 1, wait: 6};

/** Events that a history has or lacks together. */
const EVENT_GROUPS: readonly StepEvents[] = [
  {suspect: 2},
  {cutPrimary: 2, healCoordinator: 2},
  {cutStore: 4, healStore: 2},
  {cutProxy: 2, healProxy: 2},
  {add: 3},
  {restart: 3},
  {restartEmpty: 2},
  {crash: 2, start: 4},
  {lapse: 1, comeBack: 3},
  {lose: 0.3},
  {cutCoordinator: 3, healCoordinator: 2},
  {deafen: 3, hear: 2},
  {replaceCoordinator: 2},
];

/** Histories with a cut primary and proxies that verify their views. */
const CUT_PRIMARY_EVENTS: StepEvents = {
  cutPrimary: 2,
  healCoordinator: 1,
  cutStore: 4,
  healStore: 2,
  add: 3,
  restart: 5,
};

/** Histories with changes that follow closely and orders without results. */
const CLOSE_CHANGES_EVENTS: StepEvents = {
  cutPrimary: 5,
  cutCoordinator: 3,
  healCoordinator: 4,
  cutStore: 4,
  healStore: 2,
  deafen: 2,
  hear: 2,
};

/** Histories of instances that confirm commits and never register. */
const UNLISTED_EVENTS: StepEvents = {
  addUnlisted: 2,
  cutPrimary: 2,
  healCoordinator: 1,
  deafen: 3,
  hear: 2,
};

/** Kinds of histories; each may have further groups of events. */
const PROFILES: ReadonlyArray<{
  readonly events: StepEvents;
  /** Probability of each further group. */
  readonly groupProbability: number;
}> = [
  {events: {}, groupProbability: 0.6},
  {events: CUT_PRIMARY_EVENTS, groupProbability: 0.1},
  {events: CLOSE_CHANGES_EVENTS, groupProbability: 0.1},
];

/** Separates the draws of a history from those of its group. */
const SEED_FACTOR = 7_919;

/**
 * Plays a random history. Each one has a random part of the events, because
 * histories with all of them are too busy for long sequences of one kind.
 *
 * @param seed - Number of the history.
 * @param rules - The rules that are adhered to.
 * @param onStep - Handles a description of each step.
 * @param draw - Draws the events of the history.
 * @returns The group in its last state, or once it has lost a commit.
 */
export function playHistory(
  seed: number,
  rules: ChangeRules = DESIGN_RULES,
  onStep?: (text: string) => void,
  draw: (dice: Dice) => StepEvent[] = drawEvents,
): ChangeInSteps {
  const dice = new Dice(seed * SEED_FACTOR);
  const group = new ChangeInSteps(seed, rules, onStep);
  const events = draw(dice);
  const activity = dice.chance(0.5) ? 1 : 0.7;
  const currency = dice.chance(0.5) ? 1 : 0.4;
  for (let step = 0; step < HISTORY_STEPS; step += 1) {
    const event = events[dice.below(events.length)] ?? 'wait';
    group.step(event, dice.chance(activity), dice.chance(currency));
    if (group.lost.length > 0) break;
  }
  return group;
}

/** Plays the histories of several seeds. */
export function playChanges(
  histories: number,
  rules: ChangeRules = DESIGN_RULES,
): ChangeInSteps[] {
  return Array.from({length: histories}, (_, seed) => playHistory(seed, rules));
}

/**
 * Returns the first seed whose history loses acknowledged commits.
 *
 * @param firstSeed - The first seed that is played.
 * @param histories - Number of seeds.
 * @param rules - The rules that are adhered to.
 * @returns The seed; undefined if no history loses any.
 */
export function findLossySeed(
  firstSeed: number,
  histories: number,
  rules: ChangeRules,
): number | undefined {
  for (let seed = firstSeed; seed < firstSeed + histories; seed += 1) {
    if (playHistory(seed, rules).lost.length > 0) return seed;
  }
  return undefined;
}

/**
 * Plays histories of instances that confirm commits and never register, while
 * every proxy reaches the store.
 */
export function playUnlisted(
  histories: number,
  rules: ChangeRules = DESIGN_RULES,
): ChangeInSteps[] {
  return Array.from({length: histories}, (_, seed) =>
    playHistory(seed, rules, undefined, dice =>
      repeatEvents(dice, [ESSENTIAL_EVENTS, UNLISTED_EVENTS]),
    ),
  );
}

/** Returns the events of one history. */
function drawEvents(dice: Dice): StepEvent[] {
  const {events = {}, groupProbability = 0} = dice.pick(PROFILES) ?? {};
  const further = EVENT_GROUPS.filter(() => dice.chance(groupProbability));
  return repeatEvents(dice, [ESSENTIAL_EVENTS, events, ...further]);
}

/** Returns each event as often as its weight says. */
function repeatEvents(dice: Dice, groups: readonly StepEvents[]): StepEvent[] {
  return groups.flatMap(group =>
    Object.entries(group).flatMap(([event, weight]) => {
      const copies = Math.ceil(weight * (0.5 + dice.next()));
      return Array.from({length: copies}, () => event as StepEvent);
    }),
  );
}
