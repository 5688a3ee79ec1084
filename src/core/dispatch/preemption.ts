/**
 * Frees capacity for short tasks that find none: long-running tasks of the same priority, and any task of a lower one, are
 * stopped and continue elsewhere or later. A long-running task loses seconds of many; a short task would lose its whole
 * purpose.
 */
import type * as interference from './interference.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Time that a short task waits for free capacity before other tasks are stopped for it, in milliseconds. */
const preemptAfterMs = 120;

/** Maximum number of stops per round. Capacity that is about to become free is counted before more is freed. */
const maxVictimsPerRound = 4;

/** Time for which a task is not preempted after it was placed, in milliseconds. */
const minRunBeforePreemptionMs = 2_000;

/** Part by which stopping gets cheaper for a task all of whose serving neighbours are dissimilar. */
const dissimilarDiscount = 0.8;

/** A task to stop. */
export interface Victim {
	session: sessions.WorkerSession;
	place: types.Placement;
}

export interface PreemptionContext {
	now: number;
	priorityOf: (job: jobs.ActiveJob) => number;
	poolOf: (job: jobs.ActiveJob) => string;
	estimates: interference.InterferenceModel;
}

/** The cheapest task to stop on a worker. */
interface Candidate extends Victim {
	cost: number;
}

/** Chooses the tasks to stop so that the waiting tasks fit. */
export function chooseVictims(
	waiting: jobs.Task[],
	workers: Iterable<sessions.WorkerSession>,
	ctx: PreemptionContext,
): Victim[] {
	const urgent = waiting.filter((task) => isUrgent(task, ctx));
	const first = urgent[0];
	if (first === undefined) return [];
	const priority = ctx.priorityOf(first.step.job);
	// One pool per round; the others follow once the tasks of this pool have found capacity.
	const pool = ctx.poolOf(first.step.job);
	const open = [...workers].filter((one) => one.open && one.entry?.pool === pool);
	let missingMilliCores = -stoppingMilliCores(open);
	for (const task of urgent)
		if (ctx.poolOf(task.step.job) === pool) missingMilliCores += task.step.spec.milliCores;
	// Checking every running task is expensive, so it is done only while capacity is missing.
	return missingMilliCores > 0 ? selectCheapest(open, missingMilliCores, priority, ctx) : [];
}

/** The cheapest tasks that together free `missingMilliCores` thousandths of a core, at most one per worker. */
function selectCheapest(
	open: sessions.WorkerSession[],
	missingMilliCores: number,
	priority: number,
	ctx: PreemptionContext,
): Victim[] {
	const candidates = open.flatMap((session) => cheapestOn(session, priority, ctx) ?? []);
	candidates.sort((a, b) => a.cost - b.cost);
	const victims: Victim[] = [];
	let remaining = missingMilliCores;
	for (const { session, place } of candidates) {
		if (remaining <= 0 || victims.length >= maxVictimsPerRound) break;
		victims.push({ session, place });
		remaining -= place.task.step.spec.milliCores;
	}
	return victims;
}

/**
 * Whether others may be stopped for a task: it is short, reserves cores, belongs to no gang, has the highest priority, and
 * has waited long enough.
 */
function isUrgent(task: jobs.Task, ctx: PreemptionContext): boolean {
	const { spec } = task.step;
	if (spec.lasting || spec.fills || spec.gang) return false;
	return ctx.priorityOf(task.step.job) === 0 && ctx.now - task.readyAt >= preemptAfterMs;
}

/** Thousandths of a core that stopping tasks are about to free. */
function stoppingMilliCores(workers: sessions.WorkerSession[]): number {
	let total = 0;
	for (const { placements } of workers)
		for (const { phase, task } of placements.values())
			if (phase === 'stopping' && !task.step.spec.fills) total += task.step.spec.milliCores;
	return total;
}

/** The cheapest task on a worker that may be stopped for a task of this priority. */
function cheapestOn(
	session: sessions.WorkerSession,
	priority: number,
	ctx: PreemptionContext,
): Candidate | undefined {
	let cheapest: Candidate | undefined;
	for (const place of session.placements.values()) {
		const lowestCost = cheapest?.cost ?? Infinity;
		if (costLowerBound(place) >= lowestCost || !mayStop(place, priority, ctx)) continue;
		const victimCost = cost({ session, place }, ctx);
		if (victimCost < lowestCost) cheapest = { session, place, cost: victimCost };
	}
	return cheapest;
}

/** Whether a task may be stopped for a task of this priority. */
function mayStop(place: types.Placement, priority: number, ctx: PreemptionContext): boolean {
	const { spec, job } = place.task.step;
	if (place.phase !== 'running' || spec.fills || spec.gang) return false;
	if (ctx.now - place.placedAt < minRunBeforePreemptionMs) return false;
	// A step that limits how many of its tasks may be stopped at once keeps them all.
	if (spec.mayMiss !== undefined) return false;
	return spec.lasting ? ctx.priorityOf(job) >= priority : ctx.priorityOf(job) > priority;
}

/** Lower bound of what stopping a task costs, whatever its neighbours are. */
function costLowerBound(place: types.Placement): number {
	const { milliCores } = place.task.step.spec;
	return (milliCores * (1 - dissimilarDiscount)) / (place.overTargetSince === undefined ? 1 : 2);
}

/**
 * What stopping a task costs. Small tasks are cheaper. So are tasks over their target, as they serve nobody, and tasks among
 * dissimilar neighbours, as they may find a better worker.
 */
function cost(victim: Victim, ctx: PreemptionContext): number {
	const { place, session } = victim;
	const { spec } = place.task.step;
	const isOverTarget = place.overTargetSince !== undefined;
	const dissimilarShare = ctx.estimates.dissimilarShare(spec.image, session) ?? 0;
	return (spec.milliCores * (1 - dissimilarDiscount * dissimilarShare)) / (isOverTarget ? 2 : 1);
}
