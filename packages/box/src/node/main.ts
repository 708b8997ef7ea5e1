import { readFileSync } from 'node:fs'
import { formatIssue } from '@yewkeel/decisions'
import { defineCommand, runMain } from 'citty'
import type { Settings } from '../types/settings.js'
import { formatSettingsReference, parseSettings } from './readSettings.js'
import { runBox } from './runBox.js'

const EXIT_BAD_SETTINGS = 2

const settingsArgument = {
  settings: { type: 'positional', description: 'file of the settings, YAML', required: true },
} as const

/** Loads a settings file, or prints every issue and exits. */
function loadSettings(file: string): Settings {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    console.error(`${file}: ${(error as Error).message}`)
    process.exit(EXIT_BAD_SETTINGS)
  }
  const settings = parseSettings(text)
  if (settings.isOk) return settings.value
  for (const issue of settings.error) console.error(`${file}: ${formatIssue(issue)}`)
  process.exit(EXIT_BAD_SETTINGS)
}

const run = defineCommand({
  meta: { name: 'run', description: 'run a box until it is told to stop (SIGTERM)' },
  args: settingsArgument,
  async run({ args }) {
    const runningBox = await runBox(loadSettings(args.settings))
    let isStopping = false
    const stop = () => {
      if (isStopping) return
      isStopping = true
      void runningBox.stop().then(() => process.exit(0))
    }
    process.on('SIGTERM', stop)
    process.on('SIGINT', stop)
  },
})

const check = defineCommand({
  meta: { name: 'check', description: 'check a file of settings' },
  args: settingsArgument,
  run({ args }) {
    loadSettings(args.settings)
    console.log(`${args.settings}: the settings are good`)
  },
})

const reference = defineCommand({
  meta: { name: 'reference', description: 'print every setting, as Markdown' },
  run() {
    console.log(formatSettingsReference())
  },
})

const main = defineCommand({
  meta: { name: 'yewkeel', description: 'an entry box of the model-aware router' },
  subCommands: { run, check, reference },
})

/** Runs the `yewkeel` command. */
export function runYewkeel(): void {
  void runMain(main)
}
