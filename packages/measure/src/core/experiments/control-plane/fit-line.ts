/** Straight line fitted to measured points. */
export interface LineFit {
  readonly intercept: number;
  readonly slope: number;
  /** Largest vertical distance of a point from the line. */
  readonly largestResidual: number;
}

/** Fits a line to points by least squares. */
export function fitLine(
  points: ReadonlyArray<readonly [number, number]>,
): LineFit {
  const meanX = mean(points.map(([x]) => x));
  const meanY = mean(points.map(([, y]) => y));
  const covariance = mean(points.map(([x, y]) => (x - meanX) * (y - meanY)));
  const variance = mean(points.map(([x]) => (x - meanX) ** 2));
  const slope = covariance / variance;
  const base = meanY - slope * meanX;
  const residuals = points.map(([x, y]) => Math.abs(y - base - slope * x));
  return {intercept: base, slope, largestResidual: Math.max(...residuals)};
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
