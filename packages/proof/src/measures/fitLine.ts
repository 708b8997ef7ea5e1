/** A line fitted by least squares: `base` is its intercept, `points` the number of samples. */
export interface Line {
  base: number
  slope: number
  points: number
}

export function fitLine(points: readonly [x: number, y: number][]): Line {
  const count = points.length
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count
  const squaredDeviations = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const crossDeviations = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  const slope = squaredDeviations === 0 ? 0 : crossDeviations / squaredDeviations
  return { base: meanY - slope * meanX, slope, points: count }
}
