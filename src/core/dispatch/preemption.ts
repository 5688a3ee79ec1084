/**
 * Makes room for short tasks that find none: lasting tasks of the same priority, and any task of a lesser one, are
 * stopped and go on elsewhere or later. A lasting task loses seconds of many; a short task would lose all it is for.
 */
import type * as interference from './interference.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** A short task waits so long for room before others are stopped for it, in milliseconds. */
const preemptAfterMs = 120;

/** Stops in one round, at most: room that is coming free already is counted before more is made. */
const maxVictimsPerRound = 4;

/** A task that was started so lately is not stopped again for others, in milliseconds. */
const minRunBeforePreemptionMs = 2_000;

/** How much cheaper a task is to stop where it stands wholly among unlike ones. */
const dissimilarDiscount = 0.8;

/** A task to stop. */
export interface Victim {
	session: sessions.WorkerSession;
	place: types.Placement;
}

/** What the choice needs to know. */
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

/** Chooses whom to stop so that the waiting tasks fit. */
export function chooseVictims(
	waiting: jobs.Task[],
	workers: Iterable<sessions.WorkerSession>,
	ctx: PreemptionContext,
): Victim[] {
	const urgent = waiting.filter((task) => isUrgent(task, ctx));
	const first = urgent[0];
	if (first === undefined) return [];
	const priority = ctx.priorityOf(first.step.job);
	// One pool a round; the others' turn comes when this one's tasks have found room.
	const pool = ctx.poolOf(first.step.job);
	const open = [...workers].filter((one) => one.open && one.entry?.pool === pool);
	let missingMilliCores = -stoppingMilliCores(open);
	for (const task of urgent)
		if (ctx.poolOf(task.step.job) === pool) missingMilliCores += task.step.spec.milliCores;
	// Looking at all that runs is dear, so it is done only while room is missing.
	return missingMilliCores > 0 ? selectCheapest(open, missingMilliCores, priority, ctx) : [];
}

/** The cheapest that free `missing` thousandths of a core, one a worker at most. */
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

/** A task that runs for a short while on cores of its own, and has waited long enough. */
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

/** The cheapest task on a worker that may be stopped for one of this priority. */
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

/** Whether a task may be stopped for one of this priority. */
function mayStop(place: types.Placement, priority: number, ctx: PreemptionContext): boolean {
	const { spec, job } = place.task.step;
	if (place.phase !== 'running' || spec.fills || spec.gang) return false;
	if (ctx.now - place.placedAt < minRunBeforePreemptionMs) return false;
	// A step that may miss few of its tasks keeps them all.
	if (spec.mayMiss !== undefined) return false;
	return spec.lasting ? ctx.priorityOf(job) >= priority : ctx.priorityOf(job) > priority;
}

/** What stopping a task costs at least, whatever stands beside it. */
function costLowerBound(place: types.Placement): number {
	const { milliCores } = place.task.step.spec;
	return (milliCores * (1 - dissimilarDiscount)) / (place.overTargetSince === undefined ? 1 : 2);
}

/**
 * The smallest lasting tasks first; those over their target, as they serve nobody; and those among others that are
 * disturbed by other neighbours, as they may find a better place.
 */
function cost(victim: Victim, ctx: PreemptionContext): number {
	const { place, session } = victim;
	const { spec } = place.task.step;
	const isOverTarget = place.overTargetSince !== undefined;
	const dissimilarShare = ctx.estimates.dissimilarShare(spec.image, session) ?? 0;
	return (spec.milliCores * (1 - dissimilarDiscount * dissimilarShare)) / (isOverTarget ? 2 : 1);
}
