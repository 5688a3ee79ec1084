/** Places of runs on workers, as they are taken. */
import type * as jobs from '../jobs/index.js';
import type * as types from './types.js';

/** A place that is taken now; one that is taken as `running` was found there, started by an earlier owner. */
export function create(
	task: jobs.Task,
	run: number,
	phase: types.Placement['phase'],
	now: number,
): types.Placement {
	const wasRunning = phase === 'running';
	return {
		task,
		run,
		phase,
		placedAt: now,
		startSentAt: wasRunning ? -Infinity : undefined,
		confirmedAt: wasRunning ? now : 0,
		stopConfirmedAt: 0,
		percent: 0,
		progressChangedAt: now,
		reading: 0,
		pace: 100,
		isPaceConfirmed: !wasRunning,
		paceChangedAt: 0,
		paceCommandSentAt: 0,
		exempt: false,
		onProbation: false,
		overTargetSince: undefined,
		hasDippedUnderTarget: false,
		lastOverTargetAt: -Infinity,
	};
}

/** Whether a run was found at its worker, started by an earlier owner: nothing is known of it before that. */
export function isAdopted({ startSentAt }: types.Placement): boolean {
	return startSentAt === -Infinity;
}
