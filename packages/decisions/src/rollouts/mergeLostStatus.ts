import type { RolloutStatus } from './rollout.js'

/**
 * Merges the status that a restored store shows of a rollout with the one that it lost. Returns
 * undefined if the store has all of it again. A final state, an earlier start and the rejected
 * versions are kept; of two final states the stored one applies.
 */
export function mergeLostStatus(
  stored: RolloutStatus,
  lost: RolloutStatus,
): RolloutStatus | undefined {
  if (stored.target !== lost.target) return lost
  const before = stored.rejected ?? []
  const rejected = [...new Set([...before, ...(lost.rejected ?? [])])]
  const merged: RolloutStatus = {
    ...lost,
    state: stored.state === 'active' ? lost.state : stored.state,
    startedAt: Math.min(stored.startedAt, lost.startedAt),
    ...(rejected.length > 0 && { rejected }),
  }
  const isStored =
    merged.state === stored.state &&
    merged.startedAt === stored.startedAt &&
    rejected.length === before.length
  return isStored ? undefined : merged
}
