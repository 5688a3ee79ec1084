/** Operators' remote procedure calls: the process that serves them, and the client. */
export * from './client.js';
export { Operator } from './process.js';
export { operatorSettings } from './settings.js';
export type { OperatorSettings } from './settings.js';
export type * from './types.js';
