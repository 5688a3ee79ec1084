/** Dispatching: the owner's tasks, the workers that run them, and what is stored of both. */
export { Dispatcher } from './dispatcher.js';
export type { DispatcherOptions, DispatchLoad } from './options.js';
export type { Forecaster } from './forecaster.js';
export type { RecordForecastError } from './forecast-errors.js';
export type { LearnedModels } from './learned-models.js';
export type { LimitKeeper } from './scheduling-state.js';
export type { MeasuredTime, RecordTime } from './types.js';
export * as settings from './settings.js';
