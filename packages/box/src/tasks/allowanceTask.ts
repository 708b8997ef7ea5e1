import {
  createAllowance,
  createRateBucket,
  dayOf,
  grantOf,
  availableAmount,
  reserve,
  settle,
  shareOfLimit,
  spendKey,
  takeToken,
  wantedDraw,
  type Allowance,
  type Clock,
  type LimitRow,
  type Milliseconds,
  type RateBucket,
  type SpendRow,
  type TableService,
  type VoterId,
} from '@yewkeel/decisions'

export interface AllowanceTaskOptions {
  table: TableService
  clock: Clock
  boxCount(): number
}

/**
 * Result of reserving spend. `store-out`: the drawn amount is too small and the store did not
 * answer a request for more.
 */
export type Reservation = 'reserved' | 'exhausted' | 'store-out'

/** Millionths in one unit of the currency. */
export const MICROS_PER_CURRENCY_UNIT = 1_000_000
const MAX_WRITE_ATTEMPTS = 4
const DEMAND_TIME_CONSTANT: Milliseconds = 2_000

interface Demand {
  /** Requests per second at `at`, decaying exponentially since. */
  rate: number
  at: Milliseconds
}

/** Enforces this box's shares of the organisations' spend and rate limits. */
export class AllowanceTask {
  readonly #allowances = new Map<string, Allowance>()
  readonly #runningDraws = new Map<string, Promise<boolean>>()
  readonly #rateBuckets = new Map<string, RateBucket>()
  readonly #demand = new Map<string, Demand>()
  readonly #peerDemand = new Map<VoterId, ReadonlyMap<string, number>>()

  constructor(private readonly options: AllowanceTaskOptions) {}

  /** Takes a token from the organisation's rate limit; false if the limit is reached. */
  takeRateToken(organisation: string, limit: LimitRow): boolean {
    const now = this.options.clock.now()
    this.#recordDemand(organisation, now)
    const perSecond = limit.requestsPerSecond
    if (perSecond === undefined) return true
    const own = this.#demandOf(organisation, now)
    const total = this.#totalDemand(organisation, own)
    const share = shareOfLimit(perSecond, own, total, Math.max(1, this.options.boxCount()))
    const bucket = this.#rateBuckets.get(organisation) ?? createRateBucket(share, now)
    this.#rateBuckets.set(organisation, bucket)
    return takeToken(bucket, share, now)
  }

  /** Reserves a request's maximum cost, in millionths; draws from the store if needed. */
  async reserve(organisation: string, limit: LimitRow, amount: number): Promise<Reservation> {
    if (limit.spendPerDay === undefined) return 'reserved'
    const dayLimit = limit.spendPerDay * MICROS_PER_CURRENCY_UNIT
    const allowance = this.#allowanceOf(organisation)
    if (reserve(allowance, amount)) {
      // Draws in the background, so that later requests need not wait for the store.
      void this.#draw(organisation, allowance, dayLimit, 0)
      return 'reserved'
    }
    for (let attempt = 0; attempt < 2; attempt++) {
      const drawn = await this.#draw(organisation, allowance, dayLimit, amount)
      if (reserve(allowance, amount)) return 'reserved'
      if (!drawn && !allowance.exhausted) return 'store-out'
    }
    return 'exhausted'
  }

  /** Replaces a reservation by the actual cost, both in millionths. */
  settle(organisation: string, limit: LimitRow, reserved: number, actual: number): void {
    if (limit.spendPerDay === undefined) return
    settle(this.#allowanceOf(organisation), reserved, actual, this.options.clock.now())
  }

  /** Returns unspent amounts to the store on a graceful shutdown. */
  async returnUnspent(): Promise<void> {
    for (const [organisation, allowance] of this.#allowances) {
      const unspent = availableAmount(allowance)
      if (unspent > 0)
        await this.#updateSpendRow(organisation, allowance.day, row => ({
          drawn: row.drawn - unspent,
        }))
    }
    this.#allowances.clear()
  }

  /** Request rate of each organisation at this box, in requests per second. */
  ownDemand(): [string, number][] {
    const now = this.options.clock.now()
    return [...this.#demand.keys()]
      .map(organisation => [organisation, this.#demandOf(organisation, now)] as [string, number])
      .filter(([, rate]) => rate > 0.01)
  }

  setPeerDemand(peer: VoterId, demand: readonly [string, number][]): void {
    this.#peerDemand.set(peer, new Map(demand))
  }

  dropPeer(peer: VoterId): void {
    this.#peerDemand.delete(peer)
  }

  #allowanceOf(organisation: string): Allowance {
    const day = dayOf(this.options.clock.wallTime())
    const known = this.#allowances.get(organisation)
    if (known?.day === day) return known
    const created = createAllowance(day, this.options.clock.now())
    this.#allowances.set(organisation, created)
    return created
  }

  /**
   * Draws from the store, one draw per organisation at a time. Resolves to false when the store did
   * not answer.
   */
  #draw(
    organisation: string,
    allowance: Allowance,
    dayLimit: number,
    needed: number,
  ): Promise<boolean> {
    const running = this.#runningDraws.get(organisation)
    if (running) return running
    const wanted = wantedDraw(allowance, dayLimit, needed, this.options.clock.now())
    if (wanted === 0) return Promise.resolve(allowance.exhausted)
    const draw = this.#drawOnce(organisation, allowance, dayLimit, wanted, needed).finally(() =>
      this.#runningDraws.delete(organisation),
    )
    this.#runningDraws.set(organisation, draw)
    return draw
  }

  async #drawOnce(
    organisation: string,
    allowance: Allowance,
    dayLimit: number,
    wanted: number,
    needed: number,
  ): Promise<boolean> {
    let granted = 0
    const done = await this.#updateSpendRow(organisation, allowance.day, row => {
      granted = grantOf(row, dayLimit, wanted, needed)
      return granted > 0 ? { drawn: row.drawn + granted } : undefined
    })
    if (!done) return false
    allowance.drawn += granted
    if (granted === 0) allowance.exhausted = true
    return true
  }

  /**
   * Updates a spend row by compare-and-swap; `change` returns undefined to leave it. A write with
   * an unknown outcome counts as failed: the amount may be lost for the day but is never spent
   * twice.
   */
  async #updateSpendRow(
    organisation: string,
    day: string,
    change: (row: SpendRow) => SpendRow | undefined,
  ): Promise<boolean> {
    const { table } = this.options
    const key = spendKey(organisation, day)
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      const answer = await table.read([key])
      if (answer.outcome !== 'read') return false
      const row = answer.rows[0]
      const next = change(row ? (JSON.parse(row.value) as SpendRow) : { drawn: 0 })
      if (!next) return true
      const outcome = await table.commit({
        conditions: [{ key, version: row?.version ?? 0 }],
        writes: [{ key, value: JSON.stringify(next) }],
      })
      if (outcome === 'committed') return true
      if (outcome !== 'conflict') return false
    }
    return false
  }

  #recordDemand(organisation: string, now: Milliseconds): void {
    const rate = this.#demandOf(organisation, now) + 1_000 / DEMAND_TIME_CONSTANT
    this.#demand.set(organisation, { rate, at: now })
  }

  #demandOf(organisation: string, now: Milliseconds): number {
    const demand = this.#demand.get(organisation)
    return demand ? demand.rate * Math.exp(-(now - demand.at) / DEMAND_TIME_CONSTANT) : 0
  }

  #totalDemand(organisation: string, own: number): number {
    let total = own
    for (const demand of this.#peerDemand.values()) total += demand.get(organisation) ?? 0
    return total
  }
}
