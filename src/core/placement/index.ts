/** Placement: chooses a worker for each task. */
export { add, couldHold, fits, load, used, within } from './fit.js';
export * from './policy.js';
export * from './pressure.js';
export * from './round.js';
export type * from './types.js';
