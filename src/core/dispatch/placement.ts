/** Chooses workers for tasks: rates those with room by what stands there already. */
import * as waitingOrder from './waiting-order.js';
import * as freeCapacity from './free-capacity.js';
import type * as interference from './interference.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';

/** Weights of a choice, in worker loads (1: a whole worker). */
const weights = {
	/** A task that failed there before. */
	earlierFailure: 10,
	/** The data lies on another rack. */
	awayFromData: 3,
	/**
	 * A serving task among others of other images: workers of few images leave room for what disturbs the rest.
	 * A worker without any serving task is opened only when none of its image has room.
	 */
	dissimilarImages: 3,
	noServingTasks: 1.5,
	/** Beside tasks that fill, for one that serves users. */
	besidePreemptible: 0.5,
	/** Failures in a row at the worker, each. */
	recentFailure: 0.5,
	/** Each serving task that is expected to go over its target, for one that fills. */
	sloViolation: 5,
} as const;

/**
 * A task that fills waits rather than keep more than this many serving tasks over their targets; after a while it puts
 * up with more. What waits longer fills for longer: strict limits spare nobody.
 */
const maxSloViolations = 0.2;
const maxSloViolationsAfterWait = 0.5;

/** When it puts up with more, in milliseconds. */
const relaxLimitAfterMs = 3_000;

/** A task that was over its target lately gets no neighbour with a steeper slope than this. */
const maxSlopeAfterOverload = 0.4;

/** A task that was over its target gets no neighbour that disturbs it for so long, in milliseconds. */
const overloadCooldownMs = 2_000;

/** A worker gets no task that fills if its cores are then expected in use beyond this part: nothing is known of more. */
const maxExpectedUse = 1.3;

/**
 * A lasting task leaves so much of a worker free for short ones, in thousandths of a core: one or two of them. It does
 * so for a while only, in milliseconds.
 */
const shortTaskReserveMilliCores = 3_000;
const reserveDurationMs = 2_000;

/** Why no worker takes a task. */
export type PlacementFailure = 'no-worker-open' | 'no-room';

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
export interface PlacementContext {
	/** Open workers of the task's pool. */
	workers: sessions.WorkerSession[];
	estimates: interference.InterferenceModel;
	now: number;
	/** The limits of harm do not hold: among what has room, the least harm is chosen. */
	ignoreInterference?: boolean;
}

/** What depends on how long a task has waited. */
export interface PlacementLimits {
	/** Serving tasks that it may keep over their targets. */
	sloViolationLimit: number;
	/** Thousandths of a core that it has to leave free. */
	reserveMilliCores: number;
}

/** The terms of a task now. */
export function limitsOf(task: jobs.Task, now: number): PlacementLimits {
	return {
		sloViolationLimit: sloViolationLimitFor(task, now),
		reserveMilliCores: reserveMilliCoresFor(task, now),
	};
}

/** The best worker for a task. */
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

/** Lower is better; infinite: not there. Disturbance is looked at last, as it is the dearest question. */
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

/** The least that `score` may be, by what is quickly asked; infinite: not there. */
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
	// The fullest that fits: whole workers stay free for other images, and for tasks that need much.
	const reserved = worker.used.milliCores / capacity;
	const preemptiblePenalty =
		spec.targetMs > 0 ? (worker.preemptibleMilliCores / capacity) * weights.besidePreemptible : 0;
	return base + preemptiblePenalty - reserved;
}

/** What stands between a task and a worker; undefined: nothing does. For logs: `choose` asks less. */
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

/** What counts for a task of any kind. */
function commonPenalty(task: jobs.Task, worker: sessions.WorkerSession): number {
	const { dataRack } = task.step.spec;
	let score = worker.health.consecutiveFailures * weights.recentFailure;
	if (task.failedOn.has(worker.id)) score += weights.earlierFailure;
	if (dataRack !== '' && worker.entry?.labels.includes(dataRack) !== true) score += weights.awayFromData;
	return score;
}

/** How unlike the serving tasks are that one which serves users would stand among. */
function dissimilarityPenalty(
	image: string,
	worker: sessions.WorkerSession,
	estimates: interference.InterferenceModel,
): number {
	const dissimilarShare = estimates.dissimilarShare(image, worker);
	return dissimilarShare === undefined ? weights.noServingTasks : dissimilarShare * weights.dissimilarImages;
}

/** Part of a worker's cores that a task asks for. */
function coreShareOf(spec: jobs.StepSpec, worker: sessions.WorkerSession): number {
	return spec.milliCores / (worker.entry?.capacity.milliCores ?? 1);
}

/** How much harm a filling task puts up with. */
function sloViolationLimitFor(task: jobs.Task, now: number): number {
	return waitingOrder.waitedMs(task, now) < relaxLimitAfterMs ? maxSloViolations : maxSloViolationsAfterWait;
}

/** Whether it would disturb a task that was over its target lately: what has queued up is still being worked off. */
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
