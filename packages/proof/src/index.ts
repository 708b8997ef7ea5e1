export * from './world/startSystem.js'
export * from './world/demoTable.js'
