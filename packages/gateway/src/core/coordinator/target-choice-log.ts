import type {
  Departure,
  PromotionCandidate,
  TargetChoice,
  TargetInputs,
} from '@sapphireglade/decisions';
import {formatPosition} from '@sapphireglade/decisions';
import type {LogFields} from '@sapphireglade/runtime';
import type {DatabaseGroup} from '../groups/index.js';
import {wholeMilliseconds} from '../time/index.js';
import type {PrimaryChangeContext} from './primary-change-context.js';

/** What the lines are taken from and written to. */
export type TargetChoiceLogContext = Pick<
  PrimaryChangeContext,
  'coordinatorForMs' | 'departures' | 'directory' | 'log'
>;

/**
 * Logs what the choice of a target rests on: one line for each choice whose
 * inputs differ from those of the choice before.
 */
export class TargetChoiceLog {
  private logged = '';

  /**
   * @param context - What a choice rests on besides its inputs, and the log.
   * @param group - The group.
   */
  constructor(
    private readonly context: TargetChoiceLogContext,
    private readonly group: DatabaseGroup,
  ) {}

  /** Logs a choice, unless it and its inputs are the same as before. */
  record(inputs: TargetInputs, choice: TargetChoice): void {
    const fields = {
      ...describeChoice(inputs, choice),
      ...this.describeDepartures(),
    };
    const line = JSON.stringify(fields);
    if (line === this.logged) return;
    this.logged = line;
    const {log, directory, coordinatorForMs} = this.context;
    log.info('The choice of the next primary was evaluated.', {
      group: this.group.name,
      ...fields,
      directoryAgeMs: wholeMilliseconds(directory.ageMs),
      coordinatorForMs: wholeMilliseconds(coordinatorForMs() ?? Infinity),
    });
  }

  /** Returns which instances left, and what is known of the commits that they may have confirmed. */
  private describeDepartures(): LogFields {
    const {term, initialPosition, confirmers} =
      this.group.storedRecord?.record ?? {};
    const departedPosition = confirmers?.departedPosition;
    return {
      term,
      initialPosition: initialPosition && formatPosition(initialPosition),
      departures: this.context.departures
        .of(this.group.name)
        .all.map(describeDeparture)
        .join(' '),
      recordedConfirmers: confirmers?.instances.map(({id}) => id).join(' '),
      recordedDepartedPosition:
        departedPosition && formatPosition(departedPosition),
    };
  }

  /** Reports that acknowledged commits may be given up, because no instance that may have them can report any more. */
  reportUnverified({
    target,
    position,
    unverified,
  }: Extract<TargetChoice, {kind: 'promote'}>): void {
    this.context.log.error(
      'The next primary may lack acknowledged commits, which no remaining instance has.',
      {
        group: this.group.name,
        target,
        position: formatPosition(position),
        reason: unverified,
      },
    );
  }
}

function describeChoice(inputs: TargetInputs, choice: TargetChoice): LogFields {
  const {replicas, oldPrimary, minimumPosition, orderedTarget} = inputs;
  const {uninterruptedPrimary} = inputs;
  const mayReturn = inputs.mayReturn.map(({id}) => id).join(' ');
  const silent = replicas.filter(({report}) => report === undefined);
  return {
    choice: choice.kind,
    target: choice.kind === 'promote' ? choice.target : undefined,
    unproved: choice.kind === 'promote' ? choice.unverified : choice.reason,
    reports: replicas.flatMap(describeReport).join(' '),
    silent: silent.map(({id}) => id).join(' '),
    oldPrimary: oldPrimary && (describeReport(oldPrimary)[0] ?? 'silent'),
    minimumPosition: minimumPosition && formatPosition(minimumPosition),
    unverifiedDepartures: inputs.unverifiedDepartures.join(' '),
    wasPromotionOrdered: inputs.wasPromotionOrdered,
    ...(mayReturn === '' ? {} : {mayReturn}),
    ...(orderedTarget === undefined ? {} : {orderedTarget}),
    ...(uninterruptedPrimary === undefined ? {} : {uninterruptedPrimary}),
  };
}

/** Returns the id, the position and the terms of an instance that has reported; otherwise nothing. */
function describeReport({id, report}: PromotionCandidate): string[] {
  if (report === undefined) return [];
  const {received, term, heldTerm} = report;
  const position = formatPosition(received);
  return [`${id}@${position},term=${term},heldTerm=${heldTerm}`];
}

/** Returns the id of an instance that left, and the position that includes what it confirmed. */
function describeDeparture({instance, bound}: Departure): string {
  const position = bound === undefined ? 'unbounded' : formatPosition(bound);
  return `${instance.id}@${position}`;
}
