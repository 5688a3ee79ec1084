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
	const wasThere = phase === 'running';
	return {
		task,
		run,
		phase,
		placedAt: now,
		sentAt: wasThere ? -Infinity : undefined,
		confirmedAt: wasThere ? now : 0,
		stoppedAt: 0,
		percent: 0,
		progressAt: now,
		reading: 0,
		pace: 100,
		isPaceKnown: !wasThere,
		pacedAt: 0,
		paceOrderedAt: 0,
		exempt: false,
		onProbation: false,
		overSince: undefined,
		hasDipped: false,
		overAt: -Infinity,
	};
}

/** Whether the run was found on its worker, started by an earlier owner. Nothing is known of the time before. */
export function isFound({ sentAt }: types.Placement): boolean {
	return sentAt === -Infinity;
}
