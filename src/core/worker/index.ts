/** The platform's workers: message types and the adapter. */
export { exchangeTimeoutMs, WorkerClient } from './client.js';
export type { Exchange } from './client.js';
export { exchangeReq, exchangeRes } from './types.js';
export type { Command, ExchangeReq, ExchangeRes, TaskReport } from './types.js';
