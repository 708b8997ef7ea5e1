import {
  createAllowance,
  createRateBucket,
  dayOf,
  grantOf,
  leftOf,
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

/** Whether a request may be paid for. `store-out`: it could be, had the store answered. */
export type Reservation = 'reserved' | 'exhausted' | 'store-out'

export const MILLIONTHS = 1_000_000
const DRAW_TRIES = 4
const DEMAND_MEMORY: Milliseconds = 2_000

interface Demand {
  /** Requests a second, smoothed. */
  rate: number
  at: Milliseconds
}

/** Owns this box's parts of the organisations' spend and rate limits. */
export class AllowanceTask {
  readonly #allowances = new Map<string, Allowance>()
  readonly #draws = new Map<string, Promise<boolean>>()
  readonly #buckets = new Map<string, RateBucket>()
  readonly #demand = new Map<string, Demand>()
  readonly #peerDemand = new Map<VoterId, ReadonlyMap<string, number>>()

  constructor(private readonly options: AllowanceTaskOptions) {}

  /** Takes one request from the organisation's rate limit. */
  takeRequest(organisation: string, limit: LimitRow): boolean {
    const now = this.options.clock.now()
    this.#noteDemand(organisation, now)
    const perSecond = limit.requestsPerSecond
    if (perSecond === undefined) return true
    const own = this.#demandOf(organisation, now)
    const total = this.#totalDemand(organisation, own)
    const part = shareOfLimit(perSecond, own, total, Math.max(1, this.options.boxCount()))
    const bucket = this.#buckets.get(organisation) ?? createRateBucket(part, now)
    this.#buckets.set(organisation, bucket)
    return takeToken(bucket, part, now)
  }

  /** Reserves what a request may cost at most, in millionths, drawing from the store when needed. */
  async reserve(organisation: string, limit: LimitRow, amount: number): Promise<Reservation> {
    if (limit.spendPerDay === undefined) return 'reserved'
    const dayLimit = limit.spendPerDay * MILLIONTHS
    const allowance = this.#allowanceOf(organisation)
    if (reserve(allowance, amount)) {
      // Drawing ahead of need keeps the store off the request's way.
      void this.#draw(organisation, allowance, dayLimit, 0)
      return 'reserved'
    }
    for (let tries = 0; tries < 2; tries++) {
      const drawn = await this.#draw(organisation, allowance, dayLimit, amount)
      if (reserve(allowance, amount)) return 'reserved'
      if (!drawn && !allowance.exhausted) return 'store-out'
    }
    return 'exhausted'
  }

  /** Turns a reservation into what was spent. */
  settle(organisation: string, limit: LimitRow, reserved: number, actual: number): void {
    if (limit.spendPerDay === undefined) return
    settle(this.#allowanceOf(organisation), reserved, actual, this.options.clock.now())
  }

  /** Gives unused parts back to the store, at a planned stop. */
  async giveBack(): Promise<void> {
    for (const [organisation, allowance] of this.#allowances) {
      const left = leftOf(allowance)
      if (left > 0)
        await this.#change(organisation, allowance.day, row => ({ drawn: row.drawn - left }))
    }
    this.#allowances.clear()
  }

  /** Requests a second by organisation at this box. */
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

  /** One draw at a time for each organisation. False when the store did not answer. */
  #draw(
    organisation: string,
    allowance: Allowance,
    dayLimit: number,
    needed: number,
  ): Promise<boolean> {
    const running = this.#draws.get(organisation)
    if (running) return running
    const wanted = wantedDraw(allowance, dayLimit, needed, this.options.clock.now())
    if (wanted === 0) return Promise.resolve(allowance.exhausted)
    const draw = this.#drawOnce(organisation, allowance, dayLimit, wanted, needed).finally(() =>
      this.#draws.delete(organisation),
    )
    this.#draws.set(organisation, draw)
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
    const done = await this.#change(organisation, allowance.day, row => {
      granted = grantOf(row, dayLimit, wanted, needed)
      return granted > 0 ? { drawn: row.drawn + granted } : undefined
    })
    if (!done) return false
    allowance.drawn += granted
    if (granted === 0) allowance.exhausted = true
    return true
  }

  /**
   * Changes a spend row. After a lost answer the change counts as not made: what may have been drawn is
   * then lost to the day, and never spent twice.
   */
  async #change(
    organisation: string,
    day: string,
    change: (row: SpendRow) => SpendRow | undefined,
  ): Promise<boolean> {
    const { table } = this.options
    const key = spendKey(organisation, day)
    for (let tries = 0; tries < DRAW_TRIES; tries++) {
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

  #noteDemand(organisation: string, now: Milliseconds): void {
    const rate = this.#demandOf(organisation, now) + 1_000 / DEMAND_MEMORY
    this.#demand.set(organisation, { rate, at: now })
  }

  #demandOf(organisation: string, now: Milliseconds): number {
    const demand = this.#demand.get(organisation)
    return demand ? demand.rate * Math.exp(-(now - demand.at) / DEMAND_MEMORY) : 0
  }

  #totalDemand(organisation: string, own: number): number {
    let total = own
    for (const demand of this.#peerDemand.values()) total += demand.get(organisation) ?? 0
    return total
  }
}
