/**
 * Prints the least-squares line through points and the largest residual.
 *
 * @param points - Measured points.
 * @param quantity - Field on the horizontal axis.
 * @param field - Field on the vertical axis.
 */
export function printFit(points, quantity, field) {
  const meanX = mean(points.map(point => point[quantity]));
  const meanY = mean(points.map(point => point[field]));
  const covariance = mean(
    points.map(point => (point[quantity] - meanX) * (point[field] - meanY)),
  );
  const variance = mean(points.map(point => (point[quantity] - meanX) ** 2));
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const residuals = points.map(point =>
    Math.abs(point[field] - intercept - slope * point[quantity]),
  );
  console.log(
    `${field} = ${intercept.toPrecision(3)} + ${slope.toPrecision(3)} * ${quantity}; ` +
      `largest residual ${Math.max(...residuals).toPrecision(3)}.`,
  );
}

/** Returns the mean of numbers. */
function mean(values) {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
