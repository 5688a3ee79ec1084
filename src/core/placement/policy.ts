/** Ways to choose among workers that fit. */
import * as fit from './fit.js';
import type * as types from './types.js';

/** The emptiest worker: load is spread. */
export const spread: types.Score = (task, box) => fit.load(box, task.needs);

/** The fullest worker: whole workers stay free for large tasks. */
export const bestFit: types.Score = (task, box) => -fit.load(box, task.needs);

/**
 * Services spread and avoid their siblings, so that a lost worker or rack takes few replicas of one job;
 * batch is packed.
 */
export const mixed: types.Score = (task, box) =>
	task.kind === 'service' ? spread(task, box) + siblings(task, box) : bestFit(task, box);

function siblings(task: types.Waiting, box: types.Box): number {
	return box.residents.filter((resident) => resident.job === task.job).length;
}

/** The ways by the name that operators set. */
export const scores = { mixed, spread, 'best-fit': bestFit } as const satisfies Record<string, types.Score>;
