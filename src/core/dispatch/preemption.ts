/**
 * Makes room for short tasks that find none: lasting tasks of the same priority, and any task of a lesser one, are
 * stopped and go on elsewhere or later. A lasting task loses seconds of many; a short task would lose all it is for.
 */
import * as placement from './placement.js';
import type * as interference from './interference.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** A short task waits so long for room before others are stopped for it, in milliseconds. */
const patienceMs = 120;

/** Stops in one round, at most: room that is coming free already is counted before more is made. */
const mostVictims = 4;

/** A task that was started so lately is not stopped again for others, in milliseconds. */
const leastStayMs = 2_000;

/** How much cheaper a task is to stop where it stands wholly among unlike ones. */
const unlikeDiscount = 0.8;

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
	estimates: interference.Interference;
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
	const short = urgent.filter((task) => ctx.poolOf(task.step.job) === pool);
	const open = [...workers].filter((one) => one.open && one.entry?.pool === pool);
	const wanted = sum(short.map((task) => task.step.spec.milliCores)) - comingFree(open);
	const candidates = open.flatMap((session) => candidatesOn(session, priority, ctx));
	return takeCheapest(candidates, wanted, ctx);
}

/** The cheapest candidates that free `wanted` thousandths of a core, one a worker at most. */
function takeCheapest(candidates: Victim[], wanted: number, ctx: PreemptionContext): Victim[] {
	const costs = new Map(candidates.map((victim) => [victim, cost(victim, ctx)]));
	const cheapestFirst = [...candidates].sort((a, b) => (costs.get(a) ?? 0) - (costs.get(b) ?? 0));
	const victims: Victim[] = [];
	let missing = wanted;
	const used = new Set<sessions.WorkerSession>();
	for (const victim of cheapestFirst) {
		if (missing <= 0 || victims.length >= mostVictims) break;
		if (used.has(victim.session)) continue;
		used.add(victim.session);
		victims.push(victim);
		missing -= victim.place.task.step.spec.milliCores;
	}
	return victims;
}

/** A task that runs for a short while on cores of its own, and has waited long enough. */
function isUrgent(task: jobs.Task, ctx: PreemptionContext): boolean {
	const { spec } = task.step;
	if (spec.lasting || spec.fills || spec.gang) return false;
	return ctx.priorityOf(task.step.job) === 0 && ctx.now - task.readyAt >= patienceMs;
}

/** Thousandths of a core that stopping tasks are about to free. */
function comingFree(workers: sessions.WorkerSession[]): number {
	const stopping = workers.flatMap((one) =>
		[...one.placements.values()].filter((place) => place.phase === 'stopping'),
	);
	return sum(stopping.map((place) => (place.task.step.spec.fills ? 0 : place.task.step.spec.milliCores)));
}

/** What may be stopped on a worker for a task of this priority. */
function candidatesOn(session: sessions.WorkerSession, priority: number, ctx: PreemptionContext): Victim[] {
	const places = [...session.placements.values()].filter((place) => {
		const { spec, job } = place.task.step;
		if (place.phase !== 'running' || spec.fills || spec.gang) return false;
		if (ctx.now - place.placedAt < leastStayMs) return false;
		// A step that may miss few of its tasks keeps them all.
		if (spec.mayMiss !== undefined) return false;
		return spec.lasting ? ctx.priorityOf(job) >= priority : ctx.priorityOf(job) > priority;
	});
	return places.map((place) => ({ session, place }));
}

/**
 * The smallest lasting tasks first; those over their target, as they serve nobody; and those among others that are
 * disturbed by other neighbours, as they may find a better place.
 */
function cost(victim: Victim, ctx: PreemptionContext): number {
	const { place, session } = victim;
	const { spec } = place.task.step;
	const isOver = place.overSince !== undefined;
	const unlike = placement.unlikeShare(spec.image, session, ctx.estimates) ?? 0;
	return (spec.milliCores * (1 - unlikeDiscount * unlike)) / (isOver ? 2 : 1);
}

function sum(values: number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
