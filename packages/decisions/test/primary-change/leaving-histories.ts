import type {StepEvent} from './change-in-steps.js';
import {ChangeInSteps} from './change-in-steps.js';
import type {ChangeRules} from './change-rules.js';
import {DESIGN_RULES, Dice} from './change-rules.js';

/** Most steps between two phases of a history. */
const MOST_STEPS_BETWEEN = 12;

/** Steps after the last phase, in which a change may end. */
const LAST_STEPS = 60;

/** Separates the draws of a history from those of its group. */
const SEED_FACTOR = 6_101;

/**
 * A replica leaves that alone confirms commits for a while, and the primary is
 * lost. Each phase may be missing.
 */
const PHASES: readonly StepEvent[] = [
  'cutLeaving',
  'deafenStaying',
  'leave',
  'cutPrimary',
  'hear',
];

/** What precedes: a change of primary, or the only replica that stays is away. */
const FIRST_PHASES: ReadonlyArray<readonly StepEvent[]> = [
  ['suspect', 'announce'],
  ['announce', 'lapseStaying', 'comeBack', 'comeBack', 'comeBack'],
];

/** What happens between two phases. */
const EVENTS_BETWEEN: readonly StepEvent[] = ['write', 'write', 'wait'];

/** What may happen at times besides. */
const FURTHER_EVENTS: readonly StepEvent[] = [
  'announce',
  'cutLeaving',
  'healCoordinator',
  'hear',
  'add',
  'restart',
  'suspect',
  'replaceCoordinator',
];

/**
 * Plays a random history of replicas that leave.
 *
 * @param seed - Number of the history.
 * @param rules - The rules that are adhered to.
 * @param onStep - Handles a description of each step.
 * @returns The group in its last state, or once it has lost a commit.
 */
export function playLeaving(
  seed: number,
  rules: ChangeRules = DESIGN_RULES,
  onStep?: (text: string) => void,
): ChangeInSteps {
  const dice = new Dice(seed * SEED_FACTOR);
  const group = new ChangeInSteps(seed, rules, onStep);
  for (const event of drawEvents(dice)) {
    group.step(event, dice.chance(0.9), dice.chance(0.9));
    if (group.lost.length > 0) break;
  }
  return group;
}

/** Plays the histories of several seeds, from the first one on. */
export function playLeavingHistories(
  histories: number,
  rules: ChangeRules,
  firstSeed = 0,
): ChangeInSteps[] {
  return Array.from({length: histories}, (_, index) =>
    playLeaving(firstSeed + index, rules),
  );
}

/** Draws the phases, and the steps between them and after the last one. */
function drawEvents(dice: Dice): StepEvent[] {
  const first = dice.pick(FIRST_PHASES) ?? [];
  const phases = [...first, ...PHASES].filter(() => dice.chance(0.95));
  return [
    ...phases.flatMap(phase => [
      ...drawBetween(dice, dice.below(MOST_STEPS_BETWEEN)),
      phase,
    ]),
    ...drawBetween(dice, LAST_STEPS),
  ];
}

function drawBetween(dice: Dice, steps: number): StepEvent[] {
  return Array.from({length: steps}, () => {
    const isFurther = dice.chance(0.04);
    return dice.pick(isFurther ? FURTHER_EVENTS : EVENTS_BETWEEN) ?? 'wait';
  });
}
