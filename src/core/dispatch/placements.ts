/** Creates placements of runs on workers. */
import type * as jobs from '../jobs/index.js';
import type * as types from './types.js';

/** A new placement. One created as `running` was found on the worker, started by an earlier owner. */
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
		isWhole: !wasRunning && task.checkpoint === '',
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

/** Whether the run was found on its worker, started by an earlier owner. Nothing is known of the time before. */
export function isAdopted({ startSentAt }: types.Placement): boolean {
	return startSentAt === -Infinity;
}
