/** Rounds a time for a log line; undefined if it is unknown, which is Infinity. */
export function wholeMilliseconds(milliseconds: number): number | undefined {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined;
}
