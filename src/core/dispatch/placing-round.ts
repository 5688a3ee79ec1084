/** One round of placing: the open workers as they were at its beginning, without those kept for overdue tasks. */
import * as order from './waiting-order.js';
import * as room from './room.js';
import * as settings from './settings.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';

/** What one round looks at. */
export class PlacingRound {
	private constructor(
		/** Clock time of its beginning. */
		readonly now: number,
		private readonly open: Map<string, sessions.WorkerSession[]>,
	) {}

	/** Begins a round: looks at every worker once. */
	static create(workers: sessions.WorkerSession[], now: number): PlacingRound {
		const open = new Map<string, sessions.WorkerSession[]>();
		for (const worker of workers) {
			if (!worker.open || worker.entry === undefined) continue;
			const { pool } = worker.entry;
			const known = open.get(pool);
			if (known === undefined) open.set(pool, [worker]);
			else known.push(worker);
		}
		return new PlacingRound(now, open);
	}

	/** Open workers of a pool. */
	openIn(pool: string): sessions.WorkerSession[] {
		return this.open.get(pool) ?? [];
	}

	/** Keeps the emptiest workers that may hold a step free for its overdue tasks, for the rest of the round. */
	keepFor(step: jobs.StepRun, pool: string): void {
		const open = this.openIn(pool);
		const overdue = step.tasks.filter((task) => task.state === 'ready' && order.isOverdue(task, this.now));
		const most = Math.min(overdue.length, Math.ceil(open.length * settings.keptPart));
		const kept = new Set(room.emptiest(step, open, most));
		this.open.set(
			pool,
			open.filter((one) => !kept.has(one)),
		);
	}
}
