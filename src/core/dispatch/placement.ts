/** Chooses workers for tasks: scores those with free capacity by what already runs there. */
import * as waitingOrder from './waiting-order.js';
import * as freeCapacity from './free-capacity.js';
import type * as interference from './interference.js';
import type * as jobs from '../jobs/index.js';
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
	/** For a preemptible task, each serving task that is expected to exceed its target. */
	sloViolation: 5,
} as const;

/**
 * A preemptible task waits rather than keep more than this many serving tasks over their targets. After `relaxLimitAfterMs`
 * it accepts more: a task that waits longer also interferes for longer, so strict limits spare nobody.
 */
const maxSloViolations = 0.2;
const maxSloViolationsAfterWait = 0.5;

/** Wait after which the higher limit applies, in milliseconds. */
const relaxLimitAfterMs = 3_000;

/** A serving task that was over its target recently gets no new neighbour with a steeper interference slope than this. */
const maxSlopeAfterOverload = 0.4;

/** Time for which a serving task that was over its target gets no neighbour that interferes with it, in milliseconds. */
const overloadCooldownMs = 2_000;

/**
 * A worker gets no preemptible task if its expected core use would exceed this part of its cores: interference beyond it is
 * unknown.
 */
export const maxExpectedUse = 1.3;

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
	now: number;
	/**
	 * The interference limits do not apply: among workers with free capacity, the one with the least interference is chosen.
	 */
	ignoreInterference?: boolean;
}

/** Limits that depend on how long a task has waited. */
export interface PlacementLimits {
	/** Number of serving tasks that the task may keep over their targets. */
	sloViolationLimit: number;
	/** Thousandths of a core that the task has to leave free. */
	reserveMilliCores: number;
}

export function limitsOf(task: jobs.Task, now: number): PlacementLimits {
	return {
		sloViolationLimit: sloViolationLimitFor(task, now),
		reserveMilliCores: reserveMilliCoresFor(task, now),
	};
}

/** The worker with the best score for a task. */
export function choose(task: jobs.Task, ctx: PlacementContext): sessions.WorkerSession | PlacementFailure {
	const limits = limitsOf(task, ctx.now);
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
	const { estimates, now, ignoreInterference: isUnlimited = false } = ctx;
	const lowerBound = scoreLowerBound(task, worker, ctx, limits);
	if (lowerBound === Infinity) return Infinity;
	if (!spec.fills)
		return spec.targetMs > 0 ? lowerBound + dissimilarityPenalty(spec.image, worker, estimates) : lowerBound;
	const expectedViolations = estimates.expectedViolations(worker, spec.image, coreShareOf(spec, worker));
	if (!isUnlimited && expectedViolations > limits.sloViolationLimit) return Infinity;
	if (!isUnlimited && interferesWithOverloaded(spec.image, worker, estimates, now)) return Infinity;
	return lowerBound + expectedViolations * weights.sloViolation;
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
		const use = ctx.estimates.expectedUtilization(worker) + coreShareOf(spec, worker);
		return use > maxExpectedUse && ctx.ignoreInterference !== true ? Infinity : base + use;
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
	const { estimates, now } = ctx;
	const { spec } = task.step;
	if (!freeCapacity.fits(task.step, worker, 0)) return 'no-room';
	if (!freeCapacity.fits(task.step, worker, reserveMilliCoresFor(task, now))) return 'reserved';
	if (!spec.fills) return undefined;
	if (worker.mustPausePreemptible) return 'standing-still';
	const share = coreShareOf(spec, worker);
	if (estimates.expectedUtilization(worker) + share > maxExpectedUse) return 'cores-in-use';
	if (estimates.expectedViolations(worker, spec.image, share) > sloViolationLimitFor(task, now))
		return 'harm';
	return interferesWithOverloaded(spec.image, worker, estimates, now) ? 'overloaded' : undefined;
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

/** Share of a worker's cores that a task asks for. */
function coreShareOf(spec: jobs.StepSpec, worker: sessions.WorkerSession): number {
	return spec.milliCores / (worker.entry?.capacity.milliCores ?? 1);
}

/** Number of serving tasks that a preemptible task may keep over their targets, after the time it has waited. */
function sloViolationLimitFor(task: jobs.Task, now: number): number {
	return waitingOrder.waitedMs(task, now) < relaxLimitAfterMs ? maxSloViolations : maxSloViolationsAfterWait;
}

/**
 * Whether a task of the image would interfere with one that was over its target recently, and is still working off the
 * requests queued meanwhile.
 */
function interferesWithOverloaded(
	image: string,
	worker: sessions.WorkerSession,
	estimates: interference.InterferenceModel,
	now: number,
): boolean {
	for (const place of worker.placements.values()) {
		if (now - place.lastOverTargetAt >= overloadCooldownMs) continue;
		if (estimates.slope(place.task.step.spec.image, image) > maxSlopeAfterOverload) return true;
	}
	return false;
}
