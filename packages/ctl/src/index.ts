export * from './node/operatorClient.js'
export * from './utils/exitCodes.js'
export * from './utils/formatTable.js'
export * from './utils/writeTable.js'
