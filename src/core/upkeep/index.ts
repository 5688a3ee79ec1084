/** Upkeep of machines, in waves that operators request. */
export { Upkeep } from './upkeep.js';
export type { UpkeepOptions } from './upkeep.js';
export type * from './types.js';
