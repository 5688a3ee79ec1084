/** Scores by which a worker is chosen among those that fit. */
import * as fit from './fit.js';
import type * as types from './types.js';

/** Prefers the emptiest worker, which spreads the load. */
export const spread: types.Score = (task, worker) => fit.maxUtilization(worker, task.needs);

/** Prefers the fullest worker, which keeps whole workers free for large tasks. */
export const bestFit: types.Score = (task, worker) => -fit.maxUtilization(worker, task.needs);

/**
 * Spreads services and keeps replicas of one job apart, so that the loss of a worker or rack affects few of them. Packs
 * batch tasks.
 */
export const mixed: types.Score = (task, worker) =>
	task.kind === 'service' ? spread(task, worker) + sameJobTasks(task, worker) : bestFit(task, worker);

function sameJobTasks(task: types.PendingTask, worker: types.Worker): number {
	return worker.allocations.filter((allocation) => allocation.job === task.job).length;
}

/** The scores by the name that operators configure. */
export const scores = { mixed, spread, 'best-fit': bestFit } as const satisfies Record<string, types.Score>;
