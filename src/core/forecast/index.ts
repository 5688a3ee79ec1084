/** Forecasts: how long work runs, and when it will have finished. */
export { RunTimes } from './run-times.js';
export type { RunTimeFactors, TimedStep } from './run-times.js';
export { maxMessageBytes, parseForecast, toMessage } from './message.js';
export type { RejectedField, ReducedMessage, Reduction } from './message.js';
export { slowestFactor } from './pool-layout.js';
export { forecastWaits } from './waits.js';
export type * from './types.js';
