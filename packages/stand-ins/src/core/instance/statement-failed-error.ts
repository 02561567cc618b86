/** Error for a statement that breaks a rule of the database. */
export class StatementFailedError extends Error {
  /** @param message - Description of the broken rule. */
  constructor(message: string) {
    super(message);
    this.name = 'StatementFailedError';
  }
}
