/** Places the tasks of a gang: all of them at once, or none. */
import * as placement from './placement.js';
import type * as jobs from '../jobs/index.js';
import type * as placementTypes from './placement.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Time that a gang which is slow across several racks waits for one rack with free capacity, in milliseconds. */
const singleRackTimeoutMs = 1_500;

/** A placement of one member. */
export interface MemberPlacement {
	session: sessions.WorkerSession;
	place: types.Placement;
}

/** Whether every task of a gang is ready to start. */
export function areAllReady(step: jobs.StepInstance): boolean {
	return step.tasks.every((task) => task.state === 'ready');
}

/** Reserves placements for all members under one run number; undefined: there is not enough free capacity for all. */
export function reserveAll(
	step: jobs.StepInstance,
	run: number,
	workers: sessions.WorkerSession[],
	ctx: Omit<placementTypes.PlacementContext, 'workers'>,
): MemberPlacement[] | undefined {
	if (!step.spec.sameRack) return tryReserve(step, run, { ...ctx, workers });
	for (const rack of racksOf(workers)) {
		const onRack = workers.filter((one) => rackOf(one) === rack);
		const places = tryReserve(step, run, { ...ctx, workers: onRack });
		if (places !== undefined) return places;
	}
	const waitedMs = ctx.now - Math.min(...step.tasks.map((task) => task.readyAt));
	return waitedMs < singleRackTimeoutMs ? undefined : tryReserve(step, run, { ...ctx, workers });
}

/** Lets all members resume from the same checkpoint; any member's will do. */
export function shareCheckpoint(step: jobs.StepInstance): void {
	const checkpoint = step.tasks.find((task) => task.checkpoint !== '')?.checkpoint ?? '';
	for (const task of step.tasks) task.checkpoint = checkpoint;
}

/** Reserves a placement for every member among these workers; if one finds none, those reserved are freed. */
function tryReserve(
	step: jobs.StepInstance,
	run: number,
	ctx: placementTypes.PlacementContext,
): MemberPlacement[] | undefined {
	const places: MemberPlacement[] = [];
	for (const task of step.tasks) {
		const session = placement.choose(task, ctx);
		if (typeof session === 'string') {
			for (const one of places) one.session.free(one.place);
			return undefined;
		}
		places.push({ session, place: session.place(task, run, 'starting') });
	}
	return places;
}

function racksOf(workers: sessions.WorkerSession[]): Set<string> {
	return new Set(workers.map(rackOf));
}

/** A worker's labels are its kind and its rack, in this order. */
function rackOf(worker: sessions.WorkerSession): string {
	return worker.entry?.labels.at(-1) ?? '';
}
