/** Small statistics for benchmarks. */

/** Finds a percentile, 0 to 100, of a list; NaN for an empty one. */
export function findPercentile(values: readonly number[], percentile: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  const index = Math.ceil((percentile / 100) * sorted.length) - 1
  return sorted[Math.max(0, index)] ?? NaN
}

/** Least-squares line through points. */
export interface Line {
  readonly slope: number
  readonly intercept: number
}

/** Fits a line to points. */
export function estimateLine(points: readonly (readonly [number, number])[]): Line {
  const count = points.length
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const slope = variance === 0 ? 0 : covariance / variance
  return { slope, intercept: meanY - slope * meanX }
}

/** Rounds to a few digits for output. */
export function toRounded(value: number, digits = 3): number {
  return Number(value.toPrecision(digits))
}
