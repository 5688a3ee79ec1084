/** Finds runs that make no progress although their pace is not throttled. */
import * as settings from './settings.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Full pace, and full progress, in per cent. A long-running task that works stays at full progress. */
const full = 100;

/** Runs on a worker that its reports show to be hung. Time without reports proves nothing. */
export function hangingOn(session: sessions.WorkerSession, now: number): types.Placement[] {
	if (!session.answering) return [];
	const { reportedAt } = session;
	return [...session.placements.values()].filter((place) => isHanging(place, reportedAt, now));
}

function isHanging(place: types.Placement, reportedAt: number, now: number): boolean {
	if (place.phase !== 'running' || place.percent === full) return false;
	if (place.pace < full || now - place.pacedAt < settings.hangingMs) return false;
	return reportedAt - Math.max(place.progressAt, place.confirmedAt) > settings.hangingMs;
}
