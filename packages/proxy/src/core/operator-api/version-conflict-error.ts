import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';

/** The current version of a resource differs from the expected one. */
export class VersionConflictError extends SapphiregladeError {
  /**
   * @param expected - Version named by the operator.
   * @param current - Current version.
   */
  constructor(
    readonly expected: number,
    readonly current: number,
  ) {
    super(
      ErrorKind.VersionConflict,
      `The change names version ${expected}, but version ${current} is in force.`,
    );
    this.name = 'VersionConflictError';
  }
}
