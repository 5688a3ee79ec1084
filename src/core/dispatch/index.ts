/** Dispatching: the owner's tasks, the workers that run them, and what is stored of both. */
export { Dispatcher } from './dispatcher.js';
export type { DispatcherOptions, DispatchLoad } from './options.js';
export type { Knowledge } from './knowledge.js';
export type { EndTime, RecordTime } from './listed-ends.js';
export * as settings from './settings.js';
