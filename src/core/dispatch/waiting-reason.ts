/** Explains for the log why a task that found no placement waits. */
import * as gangs from './gangs.js';
import * as placement from './placement.js';
import type * as jobs from '../jobs/index.js';
import type * as waiting from './waiting-log.js';

/** Counts the obstacles between a task and each open worker; the one closest to a placement is the reason. */
export function unplacedReason(task: jobs.Task, ctx: placement.PlacementContext): waiting.WaitingReason {
	const { step } = task;
	if (step.spec.gang && !gangs.areAllReady(step)) return { reason: 'gang-incomplete' };
	const counts = new Map<string, number>();
	for (const worker of ctx.workers) {
		const obstacle = placement.obstacleAt(task, worker, ctx) ?? 'none';
		counts.set(obstacle, (counts.get(obstacle) ?? 0) + 1);
	}
	if (counts.size === 0) return { reason: 'no-worker-open' };
	const detail = [...counts].map(([obstacle, count]) => `${obstacle} ${String(count)}`).join(', ');
	// A gang that finds placements for some of its members waits for those of the others.
	if (counts.has('none')) return { reason: 'other-members', detail };
	return { reason: placement.obstacles.findLast((one) => counts.has(one)) ?? 'no-room', detail };
}
