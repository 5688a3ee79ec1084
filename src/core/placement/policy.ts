/** Ways to choose among workers that fit. */
import * as fit from './fit.js';
import type * as types from './types.js';

/** The emptiest worker: load is spread. */
export const spread: types.Score = (task, worker) => fit.maxUtilization(worker, task.needs);

/** The fullest worker: whole workers stay free for large tasks. */
export const bestFit: types.Score = (task, worker) => -fit.maxUtilization(worker, task.needs);

/**
 * Services spread and avoid their siblings, so that a lost worker or rack takes few replicas of one job;
 * batch is packed.
 */
export const mixed: types.Score = (task, worker) =>
	task.kind === 'service' ? spread(task, worker) + sameJobTasks(task, worker) : bestFit(task, worker);

function sameJobTasks(task: types.PendingTask, worker: types.Worker): number {
	return worker.allocations.filter((allocation) => allocation.job === task.job).length;
}

/** The ways by the name that operators set. */
export const scores = { mixed, spread, 'best-fit': bestFit } as const satisfies Record<string, types.Score>;
