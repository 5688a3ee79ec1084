/** Chooses workers for tasks: rates those with room by what stands there already. */
import * as order from './waiting-order.js';
import * as room from './room.js';
import type * as interference from './interference.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';

/** Weights of a choice, in worker loads (1: a whole worker). */
const weights = {
	/** A task that failed there before. */
	failedThere: 10,
	/** The data lies on another rack. */
	awayFromData: 3,
	/**
	 * A serving task among others of other images: workers of few images leave room for what disturbs the rest.
	 * A worker without any serving task is opened only when none of its image has room.
	 */
	otherImages: 3,
	firstOfImage: 1.5,
	/** Beside tasks that fill, for one that serves users. */
	besideFilling: 0.5,
	/** Failures in a row at the worker, each. */
	failing: 0.5,
	/** Each serving task that is expected to go over its target, for one that fills. */
	harm: 5,
} as const;

/**
 * A task that fills waits rather than keep more than this many serving tasks over their targets; after a while it puts
 * up with more. What waits longer fills for longer: strict limits spare nobody.
 */
const mostHarm = 0.2;
const mostHarmLate = 0.5;

/** When it puts up with more, in milliseconds. */
const patienceMs = 3_000;

/** A task that was over its target lately gets no neighbour with a steeper slope than this. */
const steepestNewSlope = 0.4;

/** A task that was over its target gets no neighbour that disturbs it for so long, in milliseconds. */
const overloadPauseMs = 2_000;

/** A worker gets no task that fills if its cores are then expected in use beyond this part: nothing is known of more. */
const mostUse = 1.3;

/**
 * A lasting task leaves so much of a worker free for short ones, in thousandths of a core: one or two of them. It does
 * so for a while only, in milliseconds.
 */
const shortReserve = 3_000;
const reserveMs = 2_000;

/** Why no worker takes a task. */
export type NoPlace = 'no-worker-open' | 'no-room';

/**
 * Why one worker does not take a task, the furthest from taking it first. `reserved`: it would fit, but for the room
 * left for short tasks. `standing-still`, `cores-in-use`, `harm`, `overloaded`: it fits, but would disturb what serves
 * users there.
 */
export const obstacles = [
	'no-room',
	'reserved',
	'standing-still',
	'cores-in-use',
	'harm',
	'overloaded',
] as const;

/** One of `obstacles`. */
export type Obstacle = (typeof obstacles)[number];

/** Among which workers to choose, and what is known of them. */
export interface Choice {
	/** Open workers of the task's pool. */
	workers: sessions.WorkerSession[];
	estimates: interference.Interference;
	now: number;
	/** The limits of harm do not hold: among what has room, the least harm is chosen. */
	anyHarm?: boolean;
}

/** What depends on how long a task has waited. */
export interface Terms {
	/** Serving tasks that it may keep over their targets. */
	harmLimit: number;
	/** Thousandths of a core that it has to leave free. */
	reserve: number;
}

/** The terms of a task now. */
export function termsOf(task: jobs.Task, now: number): Terms {
	return { harmLimit: harmLimit(task, now), reserve: reserveFor(task, now) };
}

/** The best worker for a task. */
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

/** Lower is better; infinite: not there. Disturbance is looked at last, as it is the dearest question. */
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

/** The least that `score` may be, by what is quickly asked; infinite: not there. */
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
		if (worker.mustPausePreemptible) return Infinity;
		const use = choice.estimates.expectedUse(worker) + shareOf(spec, worker);
		return use > mostUse && choice.anyHarm !== true ? Infinity : base + use;
	}
	const capacity = worker.entry?.capacity.milliCores ?? 1;
	// The fullest that fits: whole workers stay free for other images, and for tasks that need much.
	const reserved = worker.used.milliCores / capacity;
	const filling = spec.targetMs > 0 ? (worker.preemptibleMilliCores / capacity) * weights.besideFilling : 0;
	return base + filling - reserved;
}

/** What stands between a task and a worker; undefined: nothing does. For logs: `choose` asks less. */
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
	if (worker.mustPausePreemptible) return 'standing-still';
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

/** What counts for a task of any kind. */
function rateForAny(task: jobs.Task, worker: sessions.WorkerSession): number {
	const { dataRack } = task.step.spec;
	let score = worker.health.consecutiveFailures * weights.failing;
	if (task.failedOn.has(worker.id)) score += weights.failedThere;
	if (dataRack !== '' && worker.entry?.labels.includes(dataRack) !== true) score += weights.awayFromData;
	return score;
}

/** How unlike the serving tasks are that one which serves users would stand among. */
function rateUnlike(
	image: string,
	worker: sessions.WorkerSession,
	estimates: interference.Interference,
): number {
	const unlike = estimates.unlikeShare(image, worker);
	return unlike === undefined ? weights.firstOfImage : unlike * weights.otherImages;
}

/** Part of a worker's cores that a task asks for. */
function shareOf(spec: jobs.StepSpec, worker: sessions.WorkerSession): number {
	return spec.milliCores / (worker.entry?.capacity.milliCores ?? 1);
}

/** How much harm a filling task puts up with. */
function harmLimit(task: jobs.Task, now: number): number {
	return order.waitedMs(task, now) < patienceMs ? mostHarm : mostHarmLate;
}

/** Whether it would disturb a task that was over its target lately: what has queued up is still being worked off. */
function disturbsOverloaded(
	image: string,
	worker: sessions.WorkerSession,
	estimates: interference.Interference,
	now: number,
): boolean {
	for (const place of worker.placements.values()) {
		if (now - place.lastOverTargetAt >= overloadPauseMs) continue;
		if (estimates.slope(place.task.step.spec.image, image) > steepestNewSlope) return true;
	}
	return false;
}
