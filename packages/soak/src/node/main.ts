import { writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { defineCommand, runMain } from 'citty'
import { runSeed, type SeedResult } from '../runSeed.js'

const PROGRAM = fileURLToPath(
  new URL('../../../../../target/yewkeel-platform.cjs', import.meta.url),
)
const RANGE = /^(\d+)(?:-(\d+))?$/

const command = defineCommand({
  meta: {
    name: 'soak',
    description: 'Runs real boxes under random faults and checks the promises',
  },
  args: {
    seeds: { type: 'string', default: '1-4', description: 'FROM-TO' },
    seconds: {
      type: 'string',
      default: '8',
      description: 'how long faults are injected for a seed',
    },
    boxes: { type: 'string', default: '4' },
    callers: { type: 'string', default: '12' },
    parallel: { type: 'string', default: '2', description: 'seeds at the same time' },
    json: { type: 'boolean', description: 'the last line is a JSON object' },
  },
  async run({ args }) {
    const range = RANGE.exec(args.seeds)
    if (!range) throw new Error(`--seeds ${args.seeds}: give FROM-TO, as 1-50`)
    const from = Number(range[1])
    const seeds = Array.from({ length: Number(range[2] ?? from) - from + 1 }, (_, at) => from + at)
    const results: SeedResult[] = []
    const options = {
      seconds: Number(args.seconds),
      boxes: Number(args.boxes),
      callers: Number(args.callers),
      program: PROGRAM,
    }
    const work = async () => {
      for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
        const result = await runSeed({ ...options, seed })
        results.push(result)
        report(result)
      }
    }
    await Promise.all(Array.from({ length: Number(args.parallel) }, work))
    const failed = results.filter(({ violations }) => violations.length > 0)
    const sum = (of: (result: SeedResult) => number) =>
      results.reduce((total, result) => total + of(result), 0)
    const summary = {
      seeds: results.length,
      requests: sum(({ requests }) => requests),
      served: sum(({ served }) => served),
      faults: sum(({ faults }) => faults),
      violations: sum(({ violations }) => violations.length),
      failedSeeds: failed.map(({ seed }) => seed).sort((left, right) => left - right),
    }
    console.log(args.json ? JSON.stringify(summary) : summary)
    process.exit(failed.length > 0 ? 1 : 0)
  },
})

function report({ seed, requests, served, faults, violations, outputs }: SeedResult): void {
  console.log(`seed ${seed}: ${requests} requests, ${served} served, ${faults} faults`)
  for (const { promise, detail } of violations) console.log(`  ${promise}: ${detail}`)
  if (violations.length === 0) return
  const file = join(tmpdir(), `yewkeel-soak-${seed}.log`)
  writeFileSync(file, Object.values(outputs).join('\n'))
  console.log(`  what the boxes wrote: ${file}`)
}

void runMain(command)
