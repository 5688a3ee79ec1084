/** Finds runs that make no progress although their pace is not throttled. */
import * as settings from './settings.js';
import type * as sessions from './worker-session.js';
import type * as types from './types.js';

/** Full pace, and full progress, in per cent. A long-running task that works stays at full progress. */
const fullPercent = 100;

/** Runs on a worker that its reports show to be hung. Time without reports proves nothing. */
export function findHungRuns(session: sessions.WorkerSession, now: number): types.Placement[] {
	if (!session.answering) return [];
	const { lastReportAt } = session;
	return [...session.placements.values()].filter((placement) => isHung(placement, lastReportAt, now));
}

function isHung(placement: types.Placement, lastReportAt: number, now: number): boolean {
	if (placement.phase !== 'running' || placement.percent === fullPercent) return false;
	if (placement.pace < fullPercent || now - placement.paceChangedAt < settings.hungAfterMs) return false;
	return lastReportAt - Math.max(placement.progressChangedAt, placement.confirmedAt) > settings.hungAfterMs;
}
