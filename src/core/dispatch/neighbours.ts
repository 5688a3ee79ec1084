/** The neighbours of serving tasks on a worker, and the share of the worker that they use, by image. */
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Key under which tasks that are neither serving nor preemptible are counted. */
export const otherTasks = '';

/** Key under which cores in use beyond the contention threshold are counted. No image has this name. */
export const contention = ' crowding';

/** A preemptible run that uses at most this share of its cores counts as idle: readings are noisy. */
const idleShare = 0.05;

/** Placements of serving tasks on a worker. */
export function servingPlacements(session: sessions.WorkerSession): types.Placement[] {
	return [...session.placements.values()].filter(isServing);
}

/** Placements of preemptible tasks that were started on a worker and are not known to be stopping. */
export function preemptiblePlacements(session: sessions.WorkerSession): types.Placement[] {
	return [...session.placements.values()].filter(
		({ task, phase, stopConfirmedAt }) =>
			task.step.spec.fills && phase !== 'starting' && stopConfirmedAt === 0,
	);
}

/** Whether a preemptible run is working, by its own reading. */
export function isAtWork({ task, reading }: types.Placement): boolean {
	return reading > task.step.spec.milliCores * idleShare;
}

/** Share of the worker that the neighbours of its serving tasks use, by image. `weightOf` weights each placement. */
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

function isServing(place: types.Placement): boolean {
	return place.task.step.spec.targetMs > 0;
}

/** Share of a worker's cores that a task of a step asks for. */
export function coreShareOf({ milliCores }: jobs.StepSpec, session: sessions.WorkerSession): number {
	return milliCores / (session.entry?.capacity.milliCores ?? 1);
}

/** Share of the worker that a placement uses at its pace. */
function shareOf(session: sessions.WorkerSession, place: types.Placement): number {
	const capacity = session.entry?.capacity.milliCores ?? 1;
	return (place.task.step.spec.milliCores * place.pace) / 100 / capacity;
}
