import type {
  PromotionCandidate,
  TargetChoice,
  TargetInputs,
} from '@sapphireglade/decisions';
import {formatPosition} from '@sapphireglade/decisions';
import type {LogFields, Logger} from '@sapphireglade/runtime';

/**
 * Logs what the choice of a target rests on: one line for each choice whose
 * inputs differ from those of the choice before.
 */
export class TargetChoiceLog {
  private logged = '';

  /**
   * @param log - Receives the lines.
   * @param group - Name of the group.
   */
  constructor(
    private readonly log: Logger,
    private readonly group: string,
  ) {}

  /** Logs a choice, unless it and its inputs are the same as before. */
  record(inputs: TargetInputs, choice: TargetChoice): void {
    const fields = describeChoice(inputs, choice);
    const line = JSON.stringify(fields);
    if (line === this.logged) return;
    this.logged = line;
    this.log.info('The choice of the next primary was evaluated.', {
      group: this.group,
      ...fields,
    });
  }

  /** Reports that acknowledged commits may be given up, because no instance that may have them can report any more. */
  reportUnverified({
    target,
    position,
    unverified,
  }: Extract<TargetChoice, {kind: 'promote'}>): void {
    this.log.error(
      'The next primary may lack acknowledged commits, which no remaining instance has.',
      {
        group: this.group,
        target,
        position: formatPosition(position),
        reason: unverified,
      },
    );
  }
}

function describeChoice(inputs: TargetInputs, choice: TargetChoice): LogFields {
  const {replicas, oldPrimary, minimumPosition, orderedTarget} = inputs;
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
    ...(orderedTarget === undefined ? {} : {orderedTarget}),
  };
}

/** Returns the id, the position and the terms of an instance that has reported; otherwise nothing. */
function describeReport({id, report}: PromotionCandidate): string[] {
  if (report === undefined) return [];
  const {received, term, heldTerm} = report;
  const position = formatPosition(received);
  return [`${id}@${position},term=${term},heldTerm=${heldTerm}`];
}
