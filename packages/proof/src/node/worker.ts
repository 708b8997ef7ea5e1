import { startBareForwarder } from '../world/bareForwarder.js'
import { runLoader, type LoadOrder } from '../world/loader.js'
import { startTokenServer } from '../world/tokenServer.js'

/** What a helper process of a measurement is asked to be. */
export type WorkerOrder =
  | { role: 'forwarder'; upstream: string }
  | { role: 'token-server' }
  | { role: 'loader'; load: LoadOrder }
  | { role: 'usage' }

type RoleHandlers = {
  [Role in WorkerOrder['role']]: (order: Extract<WorkerOrder, { role: Role }>) => Promise<unknown>
}

const ROLES: RoleHandlers = {
  forwarder: order => startBareForwarder(order.upstream),
  'token-server': () => startTokenServer(),
  loader: order => runLoader(order.load),
  usage: () => Promise.resolve(process.memoryUsage()),
}

process.on('message', (order: WorkerOrder) => {
  const run = ROLES[order.role] as (order: WorkerOrder) => Promise<unknown>
  void run(order).then(answer => process.send!(answer))
})
