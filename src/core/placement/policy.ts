/** Ways to choose among workers that fit. */
import * as fit from './fit.js';
import type * as types from './types.js';

/** The emptiest worker: load is spread. */
export const spread: types.Score = (task, box) => fit.load(box, task.needs);

/** The fullest worker: whole workers stay free for large tasks. */
export const bestFit: types.Score = (task, box) => -fit.load(box, task.needs);

/** Estimated latency, in milliseconds, that a batch job adds to a service at the same worker. */
export type PairCost = (service: string, batch: string) => number;

/** Weight of a millisecond of added latency against a whole worker's load. */
export interface PairOptions {
	cost: PairCost;
	msPerLoad: number;
}

/**
 * Services spread (so that a lost worker or rack takes few replicas of one job), batch packed,
 * and both kept away from neighbours whose pair is known to disturb.
 */
export function pairAware(opts: PairOptions): types.Score {
	return (task, box) => {
		const base = task.kind === 'service' ? spread(task, box) + siblings(task, box) : bestFit(task, box);
		return base + disturbance(task, box, opts.cost) / opts.msPerLoad;
	};
}

function siblings(task: types.Waiting, box: types.Box): number {
	return box.residents.filter((resident) => resident.job === task.job).length;
}

function disturbance(task: types.Waiting, box: types.Box, cost: PairCost): number {
	let sum = 0;
	for (const resident of box.residents) {
		if (resident.kind === task.kind) continue;
		sum += task.kind === 'service' ? cost(task.job, resident.job) : cost(resident.job, task.job);
	}
	return sum;
}
