/**
 * Retries and hedges are paid for by requests that went well, so that they cannot multiply the load on
 * upstreams that are down: in steady state at most a tenth of the requests is sent again.
 */
export interface RetryBudget {
  tokens: number
}

const EARNED_PER_SUCCESS = 0.1
const LARGEST_BALANCE = 20

export function createRetryBudget(): RetryBudget {
  return { tokens: LARGEST_BALANCE / 2 }
}

export function earnRetry(budget: RetryBudget): void {
  budget.tokens = Math.min(LARGEST_BALANCE, budget.tokens + EARNED_PER_SUCCESS)
}

/** Takes the right to send a request once more. */
export function spendRetry(budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false
  budget.tokens -= 1
  return true
}
