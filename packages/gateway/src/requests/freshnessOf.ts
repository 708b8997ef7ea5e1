import type { Milliseconds } from '@yewkeel/decisions'
import type { GatewayServices } from '../types/services.js'
import type { Freshness } from './admitCaller.js'

/**
 * Fraction of the key revocation time after which keys are rejected without a fresh confirmation of
 * the configuration, whose age counts from when the read was sent. The rest covers notifications of
 * the store's watch, which say nothing of a change for up to a second while the store drops its
 * history, and clock drift.
 */
const KEY_REVOCATION_FRACTION = 0.78
/** Maximum age of the configuration for a 401 or 404; changes reach all boxes sooner. */
const MAX_REFUSAL_AGE: Milliseconds = 2_500

/** The age of the box's configuration, and its limits. */
export function freshnessOf({
  settings,
  operators,
}: Pick<GatewayServices, 'settings' | 'operators'>): Freshness {
  const { keyRevocation } = settings
  return {
    age: operators.age,
    maxKeyAge: keyRevocation === undefined ? undefined : KEY_REVOCATION_FRACTION * keyRevocation,
    maxRefusalAge: MAX_REFUSAL_AGE,
  }
}
