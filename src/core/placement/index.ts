/** Placement: chooses a worker for each task. */
export { addResources, fitsWhenEmpty, fits, maxUtilization, allocated, fitsWithin } from './fit.js';
export * from './policy.js';
export * from './pressure.js';
export * from './round.js';
export type * from './types.js';
