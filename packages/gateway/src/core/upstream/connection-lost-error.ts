/** Reports that a connection was lost before a command was answered. */
export class ConnectionLostError extends Error {
  /**
   * @param reason - Why the connection was lost.
   * @param wasSent - Whether a byte of the command may have left this process.
   */
  constructor(
    reason: string,
    readonly wasSent: boolean,
  ) {
    super(`The connection to the instance was lost: ${reason}`);
    this.name = 'ConnectionLostError';
  }
}
