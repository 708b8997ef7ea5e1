/** A straight line through measured points, by least squares. */
export interface Line {
  base: number
  slope: number
  points: number
}

export function fitLine(points: readonly [x: number, y: number][]): Line {
  const count = points.length
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count
  const spread = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const shared = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  const slope = spread === 0 ? 0 : shared / spread
  return { base: meanY - slope * meanX, slope, points: count }
}
