/**
 * Retry budget: successful requests earn the tokens that retries and hedges spend, so that retries
 * cannot multiply the load on failing upstreams. In steady state at most a tenth of the requests is
 * retried.
 */
export interface RetryBudget {
  tokens: number
}

const TOKENS_PER_SUCCESS = 0.1
const MAX_TOKENS = 20

export function createRetryBudget(): RetryBudget {
  return { tokens: MAX_TOKENS / 2 }
}

export function earnRetry(budget: RetryBudget): void {
  budget.tokens = Math.min(MAX_TOKENS, budget.tokens + TOKENS_PER_SUCCESS)
}

/** Takes the token for one retry or hedge. Returns false when the budget is exhausted. */
export function spendRetry(budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false
  budget.tokens -= 1
  return true
}
