/**
 * Order of the waiting steps by due time: by priority, then short before long-running steps, then steps whose due time has not
 * passed before late ones, then by due time. Sorted by due time alone, a queue that has fallen behind would make every job
 * late in turn.
 */
import * as sortKeys from './sort-keys.js';
import * as waitingOrder from './waiting-order.js';
import type * as jobs from '../jobs/index.js';

export class DueTimeOrder implements waitingOrder.WaitingOrder {
	private constructor(private readonly priorityOf: (job: jobs.ActiveJob) => number) {}

	static create(priorityOf: (job: jobs.ActiveJob) => number): DueTimeOrder {
		return new DueTimeOrder(priorityOf);
	}

	sort(steps: waitingOrder.WaitingStep[], now: number): waitingOrder.WaitingStep[] {
		const keys = new Map(steps.map((one) => [one, this.sortKeyOf(one, now)]));
		return steps.sort((a, b) => sortKeys.compare(keys.get(a) ?? [], keys.get(b) ?? []));
	}

	notePlaced(): void {
		// This order does not depend on what was placed.
	}

	/** Sort key of a step, the most significant part first. */
	private sortKeyOf(waiting: waitingOrder.WaitingStep, now: number): number[] {
		const { step } = waiting;
		return [
			this.priorityOf(step.job),
			Number(waitingOrder.comesAfterShort(waiting, now)),
			waitingOrder.latenessClass(step, now),
			step.job.dueAt,
			step.number,
		];
	}
}
