/**
 * Models asked in order of cost: an answer of a small model is kept when the model itself is confident enough
 * of it, and is otherwise dropped for that of the largest one before the caller has received any of it.
 */
export interface LadderLimits {
  /** 0 to 100. Answers below it are dropped. */
  threshold: number
}

/**
 * Trials on quiet days with a fixed threshold gave their best worth between 45 and 52 under load, and little difference up to 64 without:
 * a wrong answer costs nearly all of a request's worth, a large model's answer at most a fifth of it.
 */
export const DEFAULT_CONFIDENCE_THRESHOLD = 48

/** The model to ask after `model` gave an answer of this confidence; undefined to keep that answer. */
export function nextModel(
  models: readonly string[],
  model: string,
  confidence: number | undefined,
  { threshold }: LadderLimits,
): string | undefined {
  const largest = models.at(-1)
  if (confidence === undefined || confidence >= threshold || model === largest) return undefined
  return largest
}
