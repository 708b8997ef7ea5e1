import { sleep, type Clock, type Milliseconds, type Random } from '@yewkeel/decisions'
import { createFaults, withFaults } from '../types/faults.js'
import { jsonResponse, type StandInHandler } from '../types/handler.js'

export interface PlainServiceOptions {
  clock: Clock
  random: Random
  /** Time per request. @default 10 */
  workTime?: Milliseconds
  /** Maximum concurrent requests; reported, not enforced. @default 16 */
  slots?: number
}

/** Simulated non-engine service. POST is not idempotent: a duplicate is executed again. */
export class PlainService {
  readonly faults = createFaults()
  /** Number of executions of each POST, by idempotency key, or by body without one. */
  readonly runs = new Map<string, number>()
  #running = 0

  constructor(readonly options: PlainServiceOptions) {}

  readonly handler: StandInHandler = request =>
    withFaults(this.faults, this.options, async () => {
      const { clock, workTime = 10, slots = 16 } = this.options
      if (request.path === '/load') {
        return jsonResponse(200, {
          running: this.#running,
          waiting: 0,
          slots,
          leaving: false,
          versions: [],
        })
      }
      if (request.method === 'POST')
        this.#countRun(request.headers['idempotency-key'] ?? request.body)
      this.#running++
      await sleep(clock, workTime)
      this.#running--
      if (request.method === 'POST')
        return jsonResponse(201, { done: true, call: request.body.slice(0, 200) })
      return jsonResponse(200, { path: request.path, free: 3 })
    })

  #countRun(key: string): void {
    this.runs.set(key, (this.runs.get(key) ?? 0) + 1)
  }
}
