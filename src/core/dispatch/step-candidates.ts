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
	exact: boolean;
	/** Revision of the worker when it was scored. */
	revision: number;
}

/** Candidates of one step during one round. */
export class StepCandidates {
	/** Sorted by score, the best last. */
	private readonly candidates: Candidate[];

	private constructor(
		private readonly task: jobs.Task,
		private readonly choice: placement.Choice,
		/** Limits that a task has to share to use these candidates. */
		private readonly terms: placement.Terms,
	) {
		this.candidates = choice.workers.flatMap((worker) => this.rateRoughly(worker) ?? []);
		// Among equal scores the first worker comes first, whatever else changes, so that tests and logs stay comparable.
		this.candidates.reverse().sort((a, b) => b.score - a.score);
	}

	static create(task: jobs.Task, choice: placement.Choice): StepCandidates {
		return new StepCandidates(task, choice, placement.termsOf(task, choice.now));
	}

	/** Whether these candidates hold for a task too. */
	serve(task: jobs.Task): boolean {
		const { harmLimit, reserve } = placement.termsOf(task, this.choice.now);
		const isSame = harmLimit === this.terms.harmLimit && reserve === this.terms.reserve;
		return isSame && task.step === this.task.step && task.failedOn.size + this.task.failedOn.size === 0;
	}

	/** The best worker; it stays in front until its revision changes. */
	best(): sessions.WorkerSession | placement.NoPlace {
		for (let first = this.candidates.at(-1); first !== undefined; first = this.candidates.at(-1)) {
			if (first.exact && first.revision === first.worker.revision) return first.worker;
			this.candidates.pop();
			const rated = this.rateExactly(first.worker);
			if (rated !== undefined) this.insert(rated);
		}
		return this.choice.workers.length > 0 ? 'no-room' : 'no-worker-open';
	}

	private rateRoughly(worker: sessions.WorkerSession): Candidate | undefined {
		const score = placement.leastScore(this.task, worker, this.choice, this.terms);
		return score === Infinity ? undefined : { worker, score, exact: false, revision: worker.revision };
	}

	private rateExactly(worker: sessions.WorkerSession): Candidate | undefined {
		const score = placement.score(this.task, worker, this.choice, this.terms);
		return score === Infinity ? undefined : { worker, score, exact: true, revision: worker.revision };
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
