/** One placing round: the workers that were open at its beginning, without those kept free for overdue tasks. */
import * as candidates from './step-candidates.js';
import * as order from './waiting-order.js';
import * as room from './room.js';
import * as settings from './settings.js';
import type * as placement from './placement.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';

/** The workers considered in one round. */
export class PlacingRound {
	private readonly kept = new Set<sessions.WorkerSession>();
	/** Open workers by pool, without those that are kept free. */
	private readonly unkept: Map<string, sessions.WorkerSession[]>;

	/** Candidates of the step placed last: a round places the tasks of a step one after the other. */
	private newest: candidates.StepCandidates | undefined;

	private constructor(
		/** Clock time at which the round begins. */
		readonly now: number,
		private readonly open: Map<string, sessions.WorkerSession[]>,
	) {
		this.unkept = new Map(open);
	}

	/** Begins a round; checks every worker once. */
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

	/**
	 * Open workers of a pool that may take a step. Workers are kept free from short tasks only: preemptible tasks reserve no
	 * cores, and a long-running task that fits does not wait for a larger one.
	 */
	openFor(step: jobs.StepRun, pool: string): sessions.WorkerSession[] {
		const { fills, lasting } = step.spec;
		return (fills || lasting ? this.open : this.unkept).get(pool) ?? [];
	}

	/** The best worker for a task. */
	choose(task: jobs.Task, choice: placement.Choice): sessions.WorkerSession | placement.NoPlace {
		if (this.newest?.serve(task) !== true) this.newest = candidates.StepCandidates.create(task, choice);
		return this.newest.best();
	}

	/**
	 * Keeps workers free for the overdue tasks of a step, until the end of the round: the emptiest of those that may hold
	 * it.
	 */
	keepFor(step: jobs.StepRun, pool: string): void {
		const unkept = this.unkept.get(pool) ?? [];
		const overdue = step.tasks.filter((task) => task.state === 'ready' && order.isOverdue(task, this.now));
		const all = this.open.get(pool)?.length ?? 0;
		const left = Math.max(0, Math.ceil(all * settings.keptPart) - this.kept.size);
		for (const one of room.emptiest(step, unkept, Math.min(overdue.length, left))) this.kept.add(one);
		this.unkept.set(
			pool,
			(this.open.get(pool) ?? []).filter((one) => !this.kept.has(one)),
		);
	}
}
