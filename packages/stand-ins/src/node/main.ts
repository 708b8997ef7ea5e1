import { readFileSync } from 'node:fs'
import { parse } from 'yaml'
import { startStandIns, type StandInSettings } from './startStandIns.js'

const at = process.argv.indexOf('--settings')
const file = at === -1 ? undefined : process.argv[at + 1]
if (!file) {
  console.error('usage: npm run stand-ins -- --settings FILE')
  process.exit(2)
}
const standIns = await startStandIns(parse(readFileSync(file, 'utf8')) as StandInSettings)
console.log('the stand-ins run; POST /_faults with a JSON object to any of them sets its faults')
console.log(JSON.stringify({ ...standIns.addresses, upstreams: standIns.listed }, null, 2))
