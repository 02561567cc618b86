/** What a proxy knows of a primary that it uses. */
export interface PrimaryEvidence {
  /** Identifier of the primary. */
  readonly primary: string;
  /** Why it cannot be used at present; undefined if nothing speaks against it. */
  readonly problem: string | undefined;
  /** When it last answered anything, in milliseconds of the process clock. */
  readonly lastAnsweredAtMs: number;
}

/**
 * Decides whether a proxy suspects the primary of one group.
 *
 * Answers the load of a primary that goes dark: its pending commands time out
 * after a while, and the attempt to connect anew takes a while to fail. In
 * between nothing is outstanding, but nothing has become better either, so a
 * suspicion lasts until the primary has answered.
 */
export class PrimarySuspicion {
  private suspected:
    | {
        readonly primary: string;
        readonly problem: string;
        readonly atMs: number;
      }
    | undefined;

  /**
   * Updates the suspicion.
   *
   * @param evidence - What is known of the primary.
   * @param nowMs - The time, in milliseconds of the process clock.
   * @returns Why the primary is suspected, or undefined if it is not.
   */
  update(
    {primary, problem, lastAnsweredAtMs}: PrimaryEvidence,
    nowMs: number,
  ): string | undefined {
    const {suspected} = this;
    if (problem !== undefined) {
      this.suspected = {primary, problem, atMs: nowMs};
    } else if (suspected?.primary !== primary) {
      this.suspected = undefined;
    } else if (lastAnsweredAtMs > suspected.atMs) {
      this.suspected = undefined;
    }
    return this.suspected?.problem;
  }
}
