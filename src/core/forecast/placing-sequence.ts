/** Steps of one class that may be placed, in the order of placement: what is on time by due time, then what is late. */
import type * as types from './types.js';

/** A step in the course of a forecast. */
export interface PendingStep {
	work: types.StepWork;
	/** Cores of its tasks that are not placed. */
	coresLeft: number;
	/** Number of steps with waiting tasks that have to finish first. */
	blockedBy: number;
	/** Steps that wait for this one. */
	dependents: PendingStep[];
	/** When the last step that it waits for ends, in milliseconds from now. */
	readyAtMs: number;
}

/** The steps of one class that are ready. */
export class PlacingSequence {
	/** Sorted by due time; those before `next` are placed or late. */
	private readonly onTime: PendingStep[] = [];
	private next = 0;
	private readonly late: PendingStep[] = [];
	private nextLate = 0;

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): PlacingSequence {
		return new PlacingSequence();
	}

	/** Whether the first step is on time. */
	get hasOnTime(): boolean {
		return this.next < this.onTime.length;
	}

	/** Adds a step. Many are added in the order of their due times, so the place is searched from the end. */
	add(step: PendingStep): void {
		const { dueInMs } = step.work;
		let low = this.next;
		let high = this.onTime.length;
		if (high > low && (this.onTime[high - 1]?.work.dueInMs ?? 0) <= dueInMs) low = high;
		while (low < high) {
			const middle = (low + high) >> 1;
			if ((this.onTime[middle]?.work.dueInMs ?? 0) <= dueInMs) low = middle + 1;
			else high = middle;
		}
		this.onTime.splice(low, 0, step);
	}

	/** Moves the steps whose due time has passed behind all others. */
	moveLate(nowMs: number): void {
		for (let step = this.onTime[this.next]; step !== undefined; step = this.onTime[this.next]) {
			if (step.work.dueInMs >= nowMs) return;
			this.late.push(step);
			this.next += 1;
		}
	}

	/** The step to place next. */
	first(): PendingStep | undefined {
		return this.onTime[this.next] ?? this.late[this.nextLate];
	}

	/** Removes the step that `first` returned. */
	removeFirst(): void {
		if (this.hasOnTime) this.next += 1;
		else this.nextLate += 1;
	}
}
