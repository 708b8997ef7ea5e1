/**
 * Preloaded into a box to cut it off from the upstreams' machine: each SIGUSR2 cuts the paths or heals
 * them. While they are cut, connections to that machine are refused; open ones are reset as the cut
 * begins, or live on in the mode `refuse`.
 */
const { Socket } = require('node:net')

const host = process.env.SOAK_UPSTREAM_HOST
const livesOn = process.env.SOAK_CUT_MODE === 'refuse'
const open = new Set()
let isCut = false

const failure = code => Object.assign(new Error(`the path is cut: ${code}`), { code })
const connect = Socket.prototype.connect

Socket.prototype.connect = function (...args) {
  const [first] = args
  const options = Array.isArray(first) ? first[0] : first
  if (options?.host !== host) return connect.apply(this, args)
  if (isCut) {
    process.nextTick(() => this.destroy(failure('ECONNREFUSED')))
    return this
  }
  open.add(this)
  this.once('close', () => open.delete(this))
  return connect.apply(this, args)
}

process.on('SIGUSR2', () => {
  isCut = !isCut
  if (isCut && !livesOn) for (const socket of open) socket.destroy(failure('ECONNRESET'))
})
