#!/usr/bin/env node
import { runYewkeel } from '../dist/src/node/main.js'

runYewkeel()
