/** Optional features of scheduling, and when they are in force. */
export { defaultFeatures, readFeatures } from './features.js';
export type { FeatureBounds, Features } from './features.js';
