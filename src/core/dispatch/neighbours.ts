/** Who stands beside whom on a worker: the tasks that serve users there, and what the others use, by image. */
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Name under which tasks that neither serve nor fill are counted. */
export const otherTasks = '';

/** Name under which the cores in use beyond what goes without disturbance are counted; images have other names. */
export const contention = ' crowding';

/** Up to this part of its cores in use, a run that fills stands still: readings are rough. */
const idleShare = 0.05;

/** Placements that serve users on a worker. */
export function servingPlacements(session: sessions.WorkerSession): types.Placement[] {
	return [...session.placements.values()].filter(isServing);
}

/** Placements that fill on a worker, were started there and are not known to be stopping. */
export function preemptiblePlacements(session: sessions.WorkerSession): types.Placement[] {
	return [...session.placements.values()].filter(
		({ task, phase, stopConfirmedAt }) =>
			task.step.spec.fills && phase !== 'starting' && stopConfirmedAt === 0,
	);
}

/** Whether a run that fills works, by its own reading. */
export function isAtWork({ task, reading }: types.Placement): boolean {
	return reading > task.step.spec.milliCores * idleShare;
}

/** What the neighbours of the serving tasks use, by image; `partOf` weighs each. */
export function neighbourShares(
	session: sessions.WorkerSession,
	weightOf: (place: types.Placement) => number,
): Map<string, number> {
	const shares = new Map<string, number>();
	for (const place of session.placements.values()) {
		if (isServing(place)) continue;
		const { spec } = place.task.step;
		const image = spec.fills ? spec.image : otherTasks;
		shares.set(image, (shares.get(image) ?? 0) + shareOf(session, place) * weightOf(place));
	}
	return shares;
}

/** Whether a placement's task serves users. */
function isServing(place: types.Placement): boolean {
	return place.task.step.spec.targetMs > 0;
}

/** Share of the worker that a placement uses at its pace. */
function shareOf(session: sessions.WorkerSession, place: types.Placement): number {
	const capacity = session.entry?.capacity.milliCores ?? 1;
	return (place.task.step.spec.milliCores * place.pace) / 100 / capacity;
}
