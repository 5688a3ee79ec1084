/**
 * The rate at which an owner's tasks finish while more of them wait than can be started, and how long outstanding work takes
 * at that rate. Seconds in which nothing waits show how much there was to do, not how much could be done.
 */
import type * as types from './types.js';

/** Number of busy seconds that count, the newest: a fleet changes within half a minute. */
const maxSamples = 15;

/** Busy seconds needed before a rate is given: in the first ones the workers are still filling up. */
const minSamples = 4;

/** A second is not busy if the tasks that wait are no more than finish in this many seconds. */
const busyThresholdS = 1;

/** Outstanding tasks, by priority. */
export type OutstandingTasks = ReadonlyMap<number, number>;

/** The rate at which an owner's tasks finish. */
export class FinishRate {
	private readonly samples: number[] = [];

	private constructor() {
		// Built by `create`, like every class here.
	}

	static create(): FinishRate {
		return new FinishRate();
	}

	/** Records a second: tasks that finished in it, and tasks that wait at its end. */
	addSecond(finished: number, waiting: number): void {
		if (waiting <= finished * busyThresholdS) {
			// All that waited has been placed: the next backlog is another one.
			if (waiting === 0) this.samples.length = 0;
			return;
		}
		this.samples.push(finished);
		if (this.samples.length > maxSamples) this.samples.shift();
	}

	/**
	 * Tasks finished a second, averaged over the better half of the seconds; undefined: not known. In the others workers
	 * fill up, an owner has just started or the store is slow: they show less than can be done, and jobs would be turned
	 * away for it.
	 */
	get tasksPerS(): number | undefined {
		if (this.samples.length < minSamples) return undefined;
		const best = [...this.samples].sort((a, b) => b - a).slice(0, Math.ceil(this.samples.length / 2));
		return best.reduce((sum, one) => sum + one, 0) / best.length;
	}
}

/** How long the outstanding work takes, by priority; empty without a rate. */
export function estimateBacklog(outstanding: OutstandingTasks, tasksPerS: number | undefined): types.Backlog {
	if (tasksPerS === undefined) return [];
	const rate = Math.max(1, tasksPerS);
	let tasks = 0;
	return [...outstanding]
		.sort(([a], [b]) => a - b)
		.map(([priority, count]) => {
			tasks += count;
			return { priority, waitMs: Math.round((tasks * 1_000) / rate) };
		});
}
