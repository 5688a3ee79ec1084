/** Chooses workers for tasks: scores those with free capacity by what already runs there. */
import * as order from './waiting-order.js';
import * as room from './room.js';
import type * as interference from './interference.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';

/** Weights of a worker's score, in worker loads (1: a whole worker). */
const weights = {
	/** The task failed on this worker before. */
	failedThere: 10,
	/** The task's data is on another rack. */
	awayFromData: 3,
	/**
	 * For a serving task, times the share of serving tasks of dissimilar images: a worker with few images keeps capacity for
	 * preemptible tasks that interfere with other images. `noServingTasks` applies if the worker has no serving task; such a
	 * worker is opened only when none with the task's image has free capacity.
	 */
	otherImages: 3,
	firstOfImage: 1.5,
	/** For a serving task, times the share of the worker's cores that preemptible tasks ask for. */
	besideFilling: 0.5,
	/** Each consecutive failure on the worker. */
	failing: 0.5,
	/** For a preemptible task, each serving task that is expected to exceed its target. */
	harm: 5,
} as const;

/**
 * A preemptible task waits rather than keep more than this many serving tasks over their targets. After `relaxLimitAfterMs`
 * it accepts more: a task that waits longer also interferes for longer, so strict limits spare nobody.
 */
const mostHarm = 0.2;
const mostHarmLate = 0.5;

/** Wait after which the higher limit applies, in milliseconds. */
const patienceMs = 3_000;

/** A serving task that was over its target recently gets no new neighbour with a steeper interference slope than this. */
const steepestNewSlope = 0.4;

/** Time for which a serving task that was over its target gets no neighbour that interferes with it, in milliseconds. */
const overloadPauseMs = 2_000;

/**
 * A worker gets no preemptible task if its expected core use would exceed this part of its cores: interference beyond it is
 * unknown.
 */
const mostUse = 1.3;

/**
 * Capacity that a long-running task leaves free on a worker for one or two short tasks, in thousandths of a core. It does so
 * only for the first `reserveDurationMs` milliseconds of its wait.
 */
const shortReserve = 3_000;
const reserveMs = 2_000;

/** Why no worker takes a task. */
export type NoPlace = 'no-worker-open' | 'no-room';

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
export interface Choice {
	/** Open workers of the task's pool. */
	workers: sessions.WorkerSession[];
	estimates: interference.Interference;
	now: number;
	/**
	 * The interference limits do not apply: among workers with free capacity, the one with the least interference is chosen.
	 */
	anyHarm?: boolean;
}

/** Limits that depend on how long a task has waited. */
export interface Terms {
	/** Number of serving tasks that the task may keep over their targets. */
	harmLimit: number;
	/** Thousandths of a core that the task has to leave free. */
	reserve: number;
}

export function termsOf(task: jobs.Task, now: number): Terms {
	return { harmLimit: harmLimit(task, now), reserve: reserveFor(task, now) };
}

/** The worker with the best score for a task. */
export function choose(task: jobs.Task, choice: Choice): sessions.WorkerSession | NoPlace {
	const terms = termsOf(task, choice.now);
	let best: sessions.WorkerSession | undefined;
	let bestScore = Infinity;
	for (const worker of choice.workers) {
		if (leastScore(task, worker, choice, terms) >= bestScore) continue;
		const found = score(task, worker, choice, terms);
		if (found >= bestScore) continue;
		best = worker;
		bestScore = found;
	}
	return best ?? (choice.workers.length > 0 ? 'no-room' : 'no-worker-open');
}

/**
 * Lower is better; infinite: the worker does not take the task. Interference is checked last, as its estimate is the most
 * expensive step.
 */
export function score(task: jobs.Task, worker: sessions.WorkerSession, choice: Choice, terms: Terms): number {
	const { spec } = task.step;
	const { estimates, now, anyHarm = false } = choice;
	const least = leastScore(task, worker, choice, terms);
	if (least === Infinity) return Infinity;
	if (!spec.fills) return spec.targetMs > 0 ? least + rateUnlike(spec.image, worker, estimates) : least;
	const harm = estimates.harmOf(worker, spec.image, shareOf(spec, worker));
	if (!anyHarm && harm > terms.harmLimit) return Infinity;
	if (!anyHarm && disturbsOverloaded(spec.image, worker, estimates, now)) return Infinity;
	return least + harm * weights.harm;
}

/** A lower bound of `score` from cheap checks; infinite: the worker does not take the task. */
export function leastScore(
	task: jobs.Task,
	worker: sessions.WorkerSession,
	choice: Choice,
	terms: Terms,
): number {
	const { spec } = task.step;
	if (!room.fits(task.step, worker, terms.reserve)) return Infinity;
	const base = rateForAny(task, worker);
	if (spec.fills) {
		if (worker.mustStandStill) return Infinity;
		const use = choice.estimates.expectedUse(worker) + shareOf(spec, worker);
		return use > mostUse && choice.anyHarm !== true ? Infinity : base + use;
	}
	const capacity = worker.entry?.capacity.milliCores ?? 1;
	// Prefers the fullest worker that fits: whole workers stay free for other images, and for tasks that need much.
	const reserved = worker.used.milliCores / capacity;
	const filling = spec.targetMs > 0 ? (worker.fillMilliCores / capacity) * weights.besideFilling : 0;
	return base + filling - reserved;
}

/** What keeps a worker from taking a task; undefined: nothing does. For logs: `choose` makes fewer checks. */
export function obstacleAt(
	task: jobs.Task,
	worker: sessions.WorkerSession,
	choice: Choice,
): Obstacle | undefined {
	const { estimates, now } = choice;
	const { spec } = task.step;
	if (!room.fits(task.step, worker, 0)) return 'no-room';
	if (!room.fits(task.step, worker, reserveFor(task, now))) return 'reserved';
	if (!spec.fills) return undefined;
	if (worker.mustStandStill) return 'standing-still';
	const share = shareOf(spec, worker);
	if (estimates.expectedUse(worker) + share > mostUse) return 'cores-in-use';
	if (estimates.harmOf(worker, spec.image, share) > harmLimit(task, now)) return 'harm';
	return disturbsOverloaded(spec.image, worker, estimates, now) ? 'overloaded' : undefined;
}

/** Thousandths of a core that a task has to leave free. */
function reserveFor(task: jobs.Task, now: number): number {
	if (!task.step.spec.lasting) return 0;
	return now - task.readyAt < reserveMs ? shortReserve : 0;
}

/** Part of the score that applies to tasks of every kind. */
function rateForAny(task: jobs.Task, worker: sessions.WorkerSession): number {
	const { dataRack } = task.step.spec;
	let score = worker.health.failuresInRow * weights.failing;
	if (task.failedOn.has(worker.id)) score += weights.failedThere;
	if (dataRack !== '' && worker.entry?.labels.includes(dataRack) !== true) score += weights.awayFromData;
	return score;
}

/** Penalty of a serving task for the dissimilar serving tasks on the worker. */
function rateUnlike(
	image: string,
	worker: sessions.WorkerSession,
	estimates: interference.Interference,
): number {
	const unlike = estimates.unlikeShare(image, worker);
	return unlike === undefined ? weights.firstOfImage : unlike * weights.otherImages;
}

/** Share of a worker's cores that a task asks for. */
function shareOf(spec: jobs.StepSpec, worker: sessions.WorkerSession): number {
	return spec.milliCores / (worker.entry?.capacity.milliCores ?? 1);
}

/** Number of serving tasks that a preemptible task may keep over their targets, after the time it has waited. */
function harmLimit(task: jobs.Task, now: number): number {
	return order.waitedMs(task, now) < patienceMs ? mostHarm : mostHarmLate;
}

/**
 * Whether a task of the image would interfere with one that was over its target recently, and is still working off the
 * requests queued meanwhile.
 */
function disturbsOverloaded(
	image: string,
	worker: sessions.WorkerSession,
	estimates: interference.Interference,
	now: number,
): boolean {
	for (const place of worker.placements.values()) {
		if (now - place.overAt >= overloadPauseMs) continue;
		if (estimates.slope(place.task.step.spec.image, image) > steepestNewSlope) return true;
	}
	return false;
}
