import type { Clock, Random } from '@yewkeel/decisions'
import { createFaults, withFaults } from '../types/faults.js'
import { jsonResponse, type StandInHandler } from '../types/handler.js'

/** In-memory object store: PUT stores a JSON object under its path, any other method returns it. */
export class ObjectStore {
  readonly faults = createFaults()
  readonly objects = new Map<string, string>()

  constructor(readonly options: { clock: Clock; random: Random }) {}

  readonly handler: StandInHandler = request =>
    withFaults(this.faults, this.options, () => {
      if (request.method === 'PUT') {
        this.objects.set(request.path, request.body)
        return jsonResponse(200, {})
      }
      const object = this.objects.get(request.path)
      if (object === undefined) return jsonResponse(404, { message: 'no such object' })
      return jsonResponse(200, JSON.parse(object))
    })
}
