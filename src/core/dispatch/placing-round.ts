/** One placing round: the workers that were open at its beginning, without those kept free for overdue tasks. */
import * as candidates from './step-candidates.js';
import * as waitingOrder from './waiting-order.js';
import * as freeCapacity from './free-capacity.js';
import * as settings from './settings.js';
import type * as placement from './placement.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';

/** The workers considered in one round. */
export class PlacingRound {
	private readonly keptFree = new Set<sessions.WorkerSession>();
	/** Open workers by pool, without those that are kept free. */
	private readonly available: Map<string, sessions.WorkerSession[]>;

	/** Candidates of the step placed last: a round places the tasks of a step one after the other. */
	private newest: candidates.StepCandidates | undefined;

	private constructor(
		/** Clock time at which the round begins. */
		readonly now: number,
		private readonly open: Map<string, sessions.WorkerSession[]>,
	) {
		this.available = new Map(open);
	}

	/** Begins a round; checks every worker once. */
	static create(workers: sessions.WorkerSession[], now: number): PlacingRound {
		const open = new Map<string, sessions.WorkerSession[]>();
		for (const worker of workers) {
			if (!worker.open || worker.entry === undefined) continue;
			const { pool } = worker.entry;
			const samePool = open.get(pool);
			if (samePool === undefined) open.set(pool, [worker]);
			else samePool.push(worker);
		}
		return new PlacingRound(now, open);
	}

	/**
	 * Open workers of a pool that may take a step. Workers are kept free from short tasks only: preemptible tasks reserve no
	 * cores, and a long-running task that fits does not wait for a larger one.
	 */
	openWorkersFor(step: jobs.StepInstance, pool: string): sessions.WorkerSession[] {
		const { fills, lasting } = step.spec;
		return (fills || lasting ? this.open : this.available).get(pool) ?? [];
	}

	/** The best worker for a task. */
	choose(
		task: jobs.Task,
		ctx: placement.PlacementContext,
	): sessions.WorkerSession | placement.PlacementFailure {
		if (this.newest?.appliesTo(task) !== true) this.newest = candidates.StepCandidates.create(task, ctx);
		return this.newest.best();
	}

	/**
	 * Keeps workers free for the overdue tasks of a step, until the end of the round: the emptiest of those that may hold
	 * it.
	 */
	keepFreeFor(step: jobs.StepInstance, pool: string): void {
		const inPool = this.available.get(pool) ?? [];
		const overdue = step.tasks.filter(
			(task) => task.state === 'ready' && waitingOrder.isOverdue(task, this.now),
		);
		const openCount = this.open.get(pool)?.length ?? 0;
		const remaining = Math.max(0, Math.ceil(openCount * settings.keptFreeFraction) - this.keptFree.size);
		for (const one of freeCapacity.emptiestWorkers(step, inPool, Math.min(overdue.length, remaining)))
			this.keptFree.add(one);
		this.available.set(
			pool,
			(this.open.get(pool) ?? []).filter((one) => !this.keptFree.has(one)),
		);
	}
}
