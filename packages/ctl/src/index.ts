export * from './node/operatorClient.js'
export * from './utils/exitCodes.js'
export * from './utils/formatRecords.js'
export * from './utils/writeTable.js'
