/**
 * The workers that take tasks of one step, the best first.
 *
 * Load pattern: a wide step of a hundred tasks meets hundreds of workers. The cost of scoring every worker for each task
 * grows with the product of the two numbers. The tasks are alike, and a worker's score changes only when something is placed
 * there. So every worker gets a lower bound of its score once, and only those that come to the front are scored exactly.
 */
import * as placement from './placement.js';
import type * as jobs from '../jobs/index.js';
import type * as sessions from './worker-session.js';

/** A worker and its score. */
interface Candidate {
	worker: sessions.WorkerSession;
	/** Lower is better. */
	score: number;
	/** Whether the score is exact; if not, it is a lower bound. */
	isExact: boolean;
	/** Revision of the worker when it was scored. */
	revision: number;
}

/** Candidates of one step during one round. */
export class StepCandidates {
	/** Sorted by score, the best last. */
	private readonly candidates: Candidate[];

	private constructor(
		private readonly task: jobs.Task,
		private readonly ctx: placement.PlacementContext,
		/** Limits that a task has to share to use these candidates. */
		private readonly limits: placement.PlacementLimits,
	) {
		this.candidates = ctx.workers.flatMap((worker) => this.rateByLowerBound(worker) ?? []);
		// Among equal scores the first worker comes first, whatever else changes, so that tests and logs stay comparable.
		this.candidates.reverse().sort((a, b) => b.score - a.score);
	}

	static create(task: jobs.Task, ctx: placement.PlacementContext): StepCandidates {
		return new StepCandidates(task, ctx, placement.limitsOf(task, ctx));
	}

	/** Whether these candidates hold for a task too. */
	appliesTo(task: jobs.Task): boolean {
		const { tolerance, reserveMilliCores } = placement.limitsOf(task, this.ctx);
		const isSame = tolerance === this.limits.tolerance && reserveMilliCores === this.limits.reserveMilliCores;
		return isSame && task.step === this.task.step && task.failedOn.size + this.task.failedOn.size === 0;
	}

	/** The best worker; it stays in front until its revision changes. */
	best(): sessions.WorkerSession | placement.PlacementFailure {
		for (let front = this.candidates.at(-1); front !== undefined; front = this.candidates.at(-1)) {
			if (front.isExact && front.revision === front.worker.revision) return front.worker;
			this.candidates.pop();
			const rated = this.rateExactly(front.worker);
			if (rated !== undefined) this.insert(rated);
		}
		return this.ctx.workers.length > 0 ? 'no-room' : 'no-worker-open';
	}

	private rateByLowerBound(worker: sessions.WorkerSession): Candidate | undefined {
		const score = placement.scoreLowerBound(this.task, worker, this.ctx, this.limits);
		return score === Infinity ? undefined : { worker, score, isExact: false, revision: worker.revision };
	}

	private rateExactly(worker: sessions.WorkerSession): Candidate | undefined {
		const score = placement.score(this.task, worker, this.ctx, this.limits);
		return score === Infinity ? undefined : { worker, score, isExact: true, revision: worker.revision };
	}

	private insert(rated: Candidate): void {
		let low = 0;
		let high = this.candidates.length;
		while (low < high) {
			const middle = (low + high) >> 1;
			if ((this.candidates[middle]?.score ?? 0) > rated.score) low = middle + 1;
			else high = middle;
		}
		this.candidates.splice(low, 0, rated);
	}
}
