/** Forecasts: how long work runs, and when it will have finished. */
export { RunTimes } from './run-times.js';
export type { RunTimeFactors, TimedStep } from './run-times.js';
export type * from './types.js';
