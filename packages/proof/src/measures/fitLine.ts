/** A line fitted by least squares. */
export interface LinearFit {
  intercept: number
  slope: number
  sampleCount: number
}

export function fitLine(points: readonly [x: number, y: number][]): LinearFit {
  const count = points.length
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count
  const squaredDeviations = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const crossDeviations = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  const slope = squaredDeviations === 0 ? 0 : crossDeviations / squaredDeviations
  return { intercept: meanY - slope * meanX, slope, sampleCount: count }
}
