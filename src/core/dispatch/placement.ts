/** Chooses workers for tasks: scores those with free capacity by what already runs there. */
import * as freeCapacity from './free-capacity.js';
import type * as interference from './interference.js';
import type * as jobs from '../jobs/index.js';
import type * as limitTypes from './limit-types.js';
import type * as sessions from './worker-session.js';

/** Weights of a worker's score, in worker loads (1: a whole worker). */
const weights = {
	/** The task failed on this worker before. */
	earlierFailure: 10,
	/** The task's data is on another rack. */
	awayFromData: 3,
	/**
	 * For a serving task, times the share of serving tasks of dissimilar images: a worker with few images keeps capacity for
	 * preemptible tasks that interfere with other images. `noServingTasks` applies if the worker has no serving task; such a
	 * worker is opened only when none with the task's image has free capacity.
	 */
	dissimilarImages: 3,
	noServingTasks: 1.5,
	/** For a serving task, times the share of the worker's cores that preemptible tasks ask for. */
	besidePreemptible: 0.5,
	/** Each consecutive failure on the worker. */
	recentFailure: 0.5,
} as const;

/**
 * Capacity that a long-running task leaves free on a worker for one or two short tasks, in thousandths of a core. It does so
 * only for the first `reserveDurationMs` milliseconds of its wait.
 */
const shortTaskReserveMilliCores = 3_000;
const reserveDurationMs = 2_000;

/** Why no worker takes a task. */
export type PlacementFailure = 'no-worker-open' | 'no-room';

/**
 * Why one worker does not take a task, the furthest from taking it first. `reserved`: the task fits, but not beside the
 * capacity reserved for short tasks. `standing-still`, `cores-in-use`, `harm`, `overloaded`: it fits, but would interfere
 * with serving tasks there.
 */
export const obstacles = [
	'no-room',
	'reserved',
	'standing-still',
	'cores-in-use',
	'harm',
	'overloaded',
] as const;

export type Obstacle = (typeof obstacles)[number];

/** The workers to choose from, and what their scores depend on. */
export interface PlacementContext {
	/** Open workers of the task's pool. */
	workers: sessions.WorkerSession[];
	estimates: interference.InterferenceModel;
	/** Limits preemptible work beside serving tasks. */
	limit: limitTypes.PreemptibleLimit;
	now: number;
	/**
	 * The interference limits do not apply: among workers with free capacity, the one with the least interference is chosen.
	 */
	ignoreInterference?: boolean;
}

/** Limits that depend on how long a task has waited. */
export interface PlacementLimits {
	/** How much interference the task may cause, in the unit of the limit on preemptible work. */
	tolerance: number;
	/** Thousandths of a core that the task has to leave free. */
	reserveMilliCores: number;
}

export function limitsOf(task: jobs.Task, ctx: Omit<PlacementContext, 'workers'>): PlacementLimits {
	const { limit, now } = ctx;
	return { tolerance: limit.toleranceFor(task, now), reserveMilliCores: reserveMilliCoresFor(task, now) };
}

/** The worker with the best score for a task. */
export function choose(task: jobs.Task, ctx: PlacementContext): sessions.WorkerSession | PlacementFailure {
	const limits = limitsOf(task, ctx);
	let best: sessions.WorkerSession | undefined;
	let bestScore = Infinity;
	for (const worker of ctx.workers) {
		if (scoreLowerBound(task, worker, ctx, limits) >= bestScore) continue;
		const exactScore = score(task, worker, ctx, limits);
		if (exactScore >= bestScore) continue;
		best = worker;
		bestScore = exactScore;
	}
	return best ?? (ctx.workers.length > 0 ? 'no-room' : 'no-worker-open');
}

/**
 * Lower is better; infinite: the worker does not take the task. Interference is checked last, as its estimate is the most
 * expensive step.
 */
export function score(
	task: jobs.Task,
	worker: sessions.WorkerSession,
	ctx: PlacementContext,
	limits: PlacementLimits,
): number {
	const { spec } = task.step;
	const { estimates, limit, now, ignoreInterference = false } = ctx;
	const lowerBound = scoreLowerBound(task, worker, ctx, limits);
	if (lowerBound === Infinity) return Infinity;
	if (!spec.fills)
		return spec.targetMs > 0 ? lowerBound + dissimilarityPenalty(spec.image, worker, estimates) : lowerBound;
	const { tolerance } = limits;
	return lowerBound + limit.interferencePenalty(task, worker, { now, tolerance, ignoreInterference });
}

/** A lower bound of `score` from cheap checks; infinite: the worker does not take the task. */
export function scoreLowerBound(
	task: jobs.Task,
	worker: sessions.WorkerSession,
	ctx: PlacementContext,
	limits: PlacementLimits,
): number {
	const { spec } = task.step;
	if (!freeCapacity.fits(task.step, worker, limits.reserveMilliCores)) return Infinity;
	const base = commonPenalty(task, worker);
	if (spec.fills) {
		if (worker.mustPausePreemptible) return Infinity;
		return base + ctx.limit.usePenalty(task, worker, ctx.ignoreInterference === true);
	}
	const capacity = worker.entry?.capacity.milliCores ?? 1;
	// Prefers the fullest worker that fits: whole workers stay free for other images, and for tasks that need much.
	const reserved = worker.used.milliCores / capacity;
	const preemptiblePenalty =
		spec.targetMs > 0 ? (worker.preemptibleMilliCores / capacity) * weights.besidePreemptible : 0;
	return base + preemptiblePenalty - reserved;
}

/** What keeps a worker from taking a task; undefined: nothing does. For logs: `choose` makes fewer checks. */
export function obstacleAt(
	task: jobs.Task,
	worker: sessions.WorkerSession,
	ctx: PlacementContext,
): Obstacle | undefined {
	const { limit, now } = ctx;
	const { spec } = task.step;
	if (!freeCapacity.fits(task.step, worker, 0)) return 'no-room';
	if (!freeCapacity.fits(task.step, worker, reserveMilliCoresFor(task, now))) return 'reserved';
	if (!spec.fills) return undefined;
	if (worker.mustPausePreemptible) return 'standing-still';
	return limit.obstacleAt(task, worker, now);
}

/** Thousandths of a core that a task has to leave free. */
function reserveMilliCoresFor(task: jobs.Task, now: number): number {
	if (!task.step.spec.lasting) return 0;
	return now - task.readyAt < reserveDurationMs ? shortTaskReserveMilliCores : 0;
}

/** Part of the score that applies to tasks of every kind. */
function commonPenalty(task: jobs.Task, worker: sessions.WorkerSession): number {
	const { dataRack } = task.step.spec;
	let score = worker.health.consecutiveFailures * weights.recentFailure;
	if (task.failedOn.has(worker.id)) score += weights.earlierFailure;
	if (dataRack !== '' && worker.entry?.labels.includes(dataRack) !== true) score += weights.awayFromData;
	return score;
}

/** Penalty of a serving task for the dissimilar serving tasks on the worker. */
function dissimilarityPenalty(
	image: string,
	worker: sessions.WorkerSession,
	estimates: interference.InterferenceModel,
): number {
	const dissimilarShare = estimates.dissimilarShare(image, worker);
	return dissimilarShare === undefined ? weights.noServingTasks : dissimilarShare * weights.dissimilarImages;
}
