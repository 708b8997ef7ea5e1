/**
 * Max-min fair division: everyone gets what they ask for up to an equal part, and what some leave
 * unused goes to those who ask for more.
 */
export function maxMinShares(demands: readonly number[], capacity: number): number[] {
  const shares = demands.map(() => 0)
  const ascending = demands.map((_, index) => index)
  ascending.sort((left, right) => demands[left]! - demands[right]!)
  let left = Math.max(0, capacity)
  ascending.forEach((index, position) => {
    const equalPart = left / (ascending.length - position)
    shares[index] = Math.min(demands[index]!, equalPart)
    left -= shares[index]
  })
  return shares
}
