/** Tasks that wait for a worker, by step: the tasks of a step are alike, so a round works on steps. */
import type * as jobs from '../jobs/index.js';

/** The waiting tasks of an owner. */
export interface WaitingLoad {
	/** Number of tasks that wait for a worker. */
	waiting: number;
	/** Number of those that are not long-running. Long-running tasks may wait as long as there is no free capacity. */
	waitingShort: number;
	/** Number of preemptible ones. */
	waitingPreemptible: number;
}

export class WaitingSteps {
	private readonly byStep = new Map<jobs.StepInstance, Set<jobs.Task>>();
	private total = 0;

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): WaitingSteps {
		return new WaitingSteps();
	}

	/** Number of waiting tasks. */
	get size(): number {
		return this.total;
	}

	/** Number of waiting tasks of the steps that match. */
	count(matches: (step: jobs.StepInstance) => boolean): number {
		let count = 0;
		for (const [step, tasks] of this.byStep) if (matches(step)) count += tasks.size;
		return count;
	}

	/** Steps with waiting tasks, and how many wait. */
	*counts(): Iterable<readonly [jobs.StepInstance, number]> {
		for (const [step, tasks] of this.byStep) yield [step, tasks.size];
	}

	/** Number of waiting tasks of a step. */
	countOf(step: jobs.StepInstance): number {
		return this.byStep.get(step)?.size ?? 0;
	}

	/** Steps with waiting tasks. */
	steps(): jobs.StepInstance[] {
		return [...this.byStep.keys()];
	}

	/** The waiting tasks of a step. */
	tasksOf(step: jobs.StepInstance): jobs.Task[] {
		return [...(this.byStep.get(step) ?? [])];
	}

	/** The task of each step that has waited longest. */
	longestWaiting(): jobs.Task[] {
		return this.steps().map((step) => this.tasksOf(step).reduce((a, b) => (b.readyAt < a.readyAt ? b : a)));
	}

	/** Adds a waiting task; a task that is there already is not added again. */
	add(task: jobs.Task): void {
		const waitingTasks = this.byStep.get(task.step);
		if (waitingTasks?.has(task) === true) return;
		this.total += 1;
		if (waitingTasks === undefined) this.byStep.set(task.step, new Set([task]));
		else waitingTasks.add(task);
	}

	/** Removes a task, if it is there. */
	delete(task: jobs.Task): void {
		const waitingTasks = this.byStep.get(task.step);
		if (waitingTasks?.delete(task) !== true) return;
		this.total -= 1;
		if (waitingTasks.size === 0) this.byStep.delete(task.step);
	}
}
