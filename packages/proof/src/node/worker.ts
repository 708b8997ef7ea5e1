import { startBareForwarder } from '../world/bareForwarder.js'
import { runLoader, type LoadOptions } from '../world/loader.js'
import { startTokenServer } from '../world/tokenServer.js'

/** Task of a child process of a measure. */
export type WorkerTask =
  | { role: 'forwarder'; upstream: string }
  | { role: 'token-server' }
  | { role: 'loader'; load: LoadOptions }
  | { role: 'usage' }

type RoleHandlers = {
  [Role in WorkerTask['role']]: (task: Extract<WorkerTask, { role: Role }>) => Promise<unknown>
}

const ROLE_HANDLERS: RoleHandlers = {
  forwarder: task => startBareForwarder(task.upstream),
  'token-server': () => startTokenServer(),
  loader: task => runLoader(task.load),
  usage: () => Promise.resolve(process.memoryUsage()),
}

process.on('message', (task: WorkerTask) => {
  const run = ROLE_HANDLERS[task.role] as (task: WorkerTask) => Promise<unknown>
  void run(task).then(answer => process.send!(answer))
})
