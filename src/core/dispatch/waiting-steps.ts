/** Tasks that wait for a worker, by step: the tasks of a step are alike, so a round looks at steps. */
import type * as jobs from '../jobs/index.js';

/** The waiting tasks. */
export class WaitingSteps {
	private readonly byStep = new Map<jobs.StepInstance, Set<jobs.Task>>();
	private total = 0;

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): WaitingSteps {
		return new WaitingSteps();
	}

	/** How many tasks wait. */
	get size(): number {
		return this.total;
	}

	/** How many tasks of such steps wait. */
	count(matches: (step: jobs.StepInstance) => boolean): number {
		let count = 0;
		for (const [step, tasks] of this.byStep) if (matches(step)) count += tasks.size;
		return count;
	}

	/** Steps of which a task waits. */
	steps(): jobs.StepInstance[] {
		return [...this.byStep.keys()];
	}

	/** The tasks of a step that wait. */
	tasksOf(step: jobs.StepInstance): jobs.Task[] {
		return [...(this.byStep.get(step) ?? [])];
	}

	/** Of each step the task that has waited longest. */
	longestWaiting(): jobs.Task[] {
		return this.steps().map((step) => this.tasksOf(step).reduce((a, b) => (b.readyAt < a.readyAt ? b : a)));
	}

	/** A task waits from now on. */
	add(task: jobs.Task): void {
		const waitingTasks = this.byStep.get(task.step);
		if (waitingTasks?.has(task) === true) return;
		this.total += 1;
		if (waitingTasks === undefined) this.byStep.set(task.step, new Set([task]));
		else waitingTasks.add(task);
	}

	/** A task waits no more. */
	delete(task: jobs.Task): void {
		const waitingTasks = this.byStep.get(task.step);
		if (waitingTasks?.delete(task) !== true) return;
		this.total -= 1;
		if (waitingTasks.size === 0) this.byStep.delete(task.step);
	}
}
