#!/usr/bin/env node
import { runYewkeelctl } from '../dist/src/node/main.js'

runYewkeelctl()
